/**
 * One start of a target. A target may start again under the id that it had; it then knows nothing of before.
 *
 * For: the lease of a target, its connections, and the gate, which tell starts apart. Owns: how two starts are compared.
 * Relies on: what targets say of themselves. Pure.
 */

/** What tells the starts of targets apart. */
export interface Incarnation {
  /** Id that the target gives itself. */
  readonly instance: string;
  /** Milliseconds since 1970 of its start; absent from targets that don't tell it. */
  readonly born?: number | undefined;
}

/** The text that names an incarnation where an id alone could mean two of them. */
export function incarnationName({ instance, born }: Incarnation): string {
  return born === undefined ? instance : `${instance}@${born}`;
}

/** Whether both may be the same start: a health check tells the id alone. */
export function isSameIncarnation(first: Incarnation, second: Incarnation): boolean {
  if (first.instance !== second.instance) return false;
  return first.born === undefined || second.born === undefined || first.born === second.born;
}

/** Whether `first` is known to have started later than `second`. */
export function startedLater(first: Incarnation, second: Incarnation): boolean {
  if (first.born === undefined) return false;
  return second.born === undefined || first.born > second.born;
}
