/**
 * History of accepted declared sets, part of the replicated state. Recognizes a retried set by its version and digest, also
 * after newer sets were accepted, and detects version conflicts.
 */

/** Record of an accepted set. */
export interface AcceptedDeclaration {
  readonly version: number;
  /** Digest of the content of the set. */
  readonly digest: string;
  /** Store revision at which the set took effect. */
  readonly revision: number;
}

/** Result of checking a set against the history. */
export type DeclarationCheck =
  /** The same set was already accepted. */
  | { readonly type: 'accepted-before'; readonly revision: number }
  /** The set is based on the current version. */
  | { readonly type: 'follows' }
  /** The set is not based on the current version, or its version is not greater. */
  | { readonly type: 'conflict'; readonly currentVersion: number };

/** Maximum number of sets kept; older ones are no longer recognized as retries. */
const MAX_DECLARATIONS = 20_000;

export class DeclarationHistory {
  private readonly accepted = new Map<number, AcceptedDeclaration>();
  private current = 0;

  /** Version of the newest set; 0 if there is none. */
  get version(): number {
    return this.current;
  }

  /** Checks whether a set with `version` can be applied on top of `baseVersion`. */
  check(version: number, baseVersion: number, digest: string): DeclarationCheck {
    const earlier = this.accepted.get(version);
    if (earlier?.digest === digest) return { type: 'accepted-before', revision: earlier.revision };
    if (baseVersion !== this.current || version <= this.current) {
      return { type: 'conflict', currentVersion: this.current };
    }
    return { type: 'follows' };
  }

  /** Records an accepted set and evicts the oldest one when there are too many. */
  record(declaration: AcceptedDeclaration): void {
    this.accepted.set(declaration.version, declaration);
    this.current = declaration.version;
    if (this.accepted.size <= MAX_DECLARATIONS) return;
    const [oldest] = this.accepted.keys();
    if (oldest !== undefined) this.accepted.delete(oldest);
  }

  /** All recorded sets, oldest first. */
  list(): AcceptedDeclaration[] {
    return [...this.accepted.values()];
  }

  /** Replaces the history with that of a snapshot. */
  restore(declarations: readonly AcceptedDeclaration[]): void {
    this.accepted.clear();
    this.current = 0;
    for (const declaration of declarations) this.record(declaration);
  }
}
