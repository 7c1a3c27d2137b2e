/**
 * What processes report to each other about crashes of targets: sidecars to every control replica with their heartbeats, a
 * replica to its followers with their syncs.
 */

/** One crash of a target, as the sidecar beside it saw it. */
export interface CrashReport {
  /** Name of the incarnation of the target that ended: names the crash. */
  readonly instance: string;
  /** Requests that the target was at work on: any of them may be the cause. */
  readonly fingerprints: readonly string[];
}

/** A request under which several targets have crashed, and that has not been seen to end well since. */
export interface CrashSuspect {
  readonly fingerprint: string;
  /** Milliseconds since the first of these crashes, when this was told. */
  readonly firstCrashAgoMs: number;
}

/** The suspects that one control replica knows of. */
export interface SuspectList {
  /** Counts the changes of the list at this replica. */
  readonly version: number;
  readonly suspects: readonly CrashSuspect[];
}

/** What a sidecar tells about crashes with each heartbeat. */
export interface CrashNews {
  readonly crashes: readonly CrashReport[];
  /** Suspects that a target here has answered, so that they are not the cause. */
  readonly acquitted: readonly string[];
}

export const NO_SUSPECTS: SuspectList = { version: 0, suspects: [] };
