/**
 * Messages about crashes of targets. Sidecars send crashes to every control replica with their heartbeats; replicas send
 * suspects to their followers with syncs.
 */

/** A crash of a target, as observed by its sidecar. */
export interface CrashReport {
  /** Name of the incarnation that crashed; identifies the crash. */
  readonly instance: string;
  /** Requests that were in flight in the target; any of them may be the cause. */
  readonly fingerprints: readonly string[];
}

/** A request that was in flight in several crashes and has not been seen to succeed since. */
export interface CrashSuspect {
  readonly fingerprint: string;
  /** Milliseconds from the first of these crashes to the sending of the list. */
  readonly firstCrashAgoMs: number;
}

/** The suspects known to one control replica. */
export interface SuspectList {
  /** Increases with each change of the list at this replica. */
  readonly version: number;
  readonly suspects: readonly CrashSuspect[];
}

/** What a sidecar reports about crashes with a heartbeat. */
export interface CrashUpdate {
  readonly crashes: readonly CrashReport[];
  /** Fingerprints of suspects that succeeded at the sidecar's target, and therefore are not the cause. */
  readonly acquitted: readonly string[];
}

export const NO_SUSPECTS: SuspectList = { version: 0, suspects: [] };
