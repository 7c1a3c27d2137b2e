/**
 * An incarnation is one run of a target process. A target may restart under the same instance id, without any state of the
 * previous run; the start time then distinguishes the incarnations.
 */

/** Identifies one run of a target process. */
export interface Incarnation {
  /** Instance id that the target reports. */
  readonly instance: string;
  /** Start time in milliseconds since 1970; absent if the target does not report it. */
  readonly born?: number | undefined;
}

/** Returns a string that is unique to an incarnation if its start time is known. */
export function incarnationName({ instance, born }: Incarnation): string {
  return born === undefined ? instance : `${instance}@${born}`;
}

/** Whether both may be the same incarnation; an unknown start time matches any, as a health check reports only the id. */
export function isSameIncarnation(first: Incarnation, second: Incarnation): boolean {
  if (first.instance !== second.instance) return false;
  return first.born === undefined || second.born === undefined || first.born === second.born;
}

/** Whether `first` reports a later start time than `second`; an unknown start time of `second` counts as earlier. */
export function startedLater(first: Incarnation, second: Incarnation): boolean {
  if (first.born === undefined) return false;
  return second.born === undefined || first.born > second.born;
}
