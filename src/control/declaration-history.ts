/**
 * Which declared sets were accepted, by the versions that operators gave them. A set that is sent
 * again is recognised by version and content, however many others have come since. Decides whether a set follows, was accepted before or is
 * in conflict. Owns that list, a part of the replicated state.
 */

/** A set that was accepted. */
export interface AcceptedDeclaration {
  readonly version: number;
  /** Digest of the set's content. */
  readonly digest: string;
  /** Revision of the store at which it took effect. */
  readonly revision: number;
}

/** What would become of a set. */
export type DeclarationCheck =
  /** It was accepted before. */
  | { readonly type: 'accepted-before'; readonly revision: number }
  /** It follows on the current one. */
  | { readonly type: 'follows' }
  /** Another version is current. */
  | { readonly type: 'conflict'; readonly currentVersion: number };

/** Sets that are remembered. At 1,800 a day, more than ten days' worth. */
const MAX_DECLARATIONS = 20_000;

export class DeclarationHistory {
  private readonly accepted = new Map<number, AcceptedDeclaration>();
  private current = 0;

  /** Version of the newest set; 0 before the first. */
  get version(): number {
    return this.current;
  }

  /** Judges a set with `version` on top of `baseVersion`. */
  check(version: number, baseVersion: number, digest: string): DeclarationCheck {
    const earlier = this.accepted.get(version);
    if (earlier?.digest === digest) return { type: 'accepted-before', revision: earlier.revision };
    if (baseVersion !== this.current || version <= this.current) {
      return { type: 'conflict', currentVersion: this.current };
    }
    return { type: 'follows' };
  }

  /** Records a set that was accepted. */
  record(declaration: AcceptedDeclaration): void {
    this.accepted.set(declaration.version, declaration);
    this.current = declaration.version;
    if (this.accepted.size <= MAX_DECLARATIONS) return;
    const [oldest] = this.accepted.keys();
    if (oldest !== undefined) this.accepted.delete(oldest);
  }

  /** Every set remembered, oldest first. */
  list(): AcceptedDeclaration[] {
    return [...this.accepted.values()];
  }

  /** Replaces the history by one from a snapshot. */
  restore(declarations: readonly AcceptedDeclaration[]): void {
    this.accepted.clear();
    this.current = 0;
    for (const declaration of declarations) this.record(declaration);
  }
}
