/** Parses the load that a target reports in the head of its answers. */

/** Load of a target when it sent an answer. */
export interface TargetLoad {
  /** Requests that the target is processing. */
  readonly running: number;
  /** Requests in the queue of the target. */
  readonly waiting: number;
  /** Maximum number of requests that the target processes concurrently. */
  readonly slots: number;
  /**
   * Current duration of work at the target as a multiple of the usual one; 1 is usual, 2 is half as fast. Undefined if the
   * target does not report it.
   */
  readonly slowdown: number | undefined;
}

const SEPARATOR = ',';
const WHOLE_NUMBER = /^\d{1,9}$/;
/** Value of the fourth figure when work takes as long as usual. */
const USUAL_DURATION_PERCENT = 100;
const FIELDS_WITHOUT_DURATION = 3;
const FIELDS_WITH_DURATION = 4;

/**
 * Parses `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,DURATION`, where the duration of work is in percent of the usual
 * one. Further figures are ignored, for targets that report more.
 * @returns undefined if the value is missing or malformed
 */
export function parseTargetLoad(value: string | undefined): TargetLoad | undefined {
  const fields = value?.split(SEPARATOR).map((field) => field.trim()) ?? [];
  if (fields.length < FIELDS_WITHOUT_DURATION) return undefined;
  const figures = fields.slice(0, FIELDS_WITH_DURATION);
  if (!figures.every((field) => WHOLE_NUMBER.test(field))) return undefined;
  const [running, waiting, slots, durationPercent] = figures.map(Number);
  if (slots! < 1) return undefined;
  return {
    running: running!,
    waiting: waiting!,
    slots: slots!,
    // A duration of 0 is no statement about the speed.
    slowdown: (durationPercent ?? 0) > 0 ? durationPercent! / USUAL_DURATION_PERCENT : undefined,
  };
}
