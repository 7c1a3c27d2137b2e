/**
 * What ingresses and control tell each other about the quotas of groups, with heartbeats and their answers. These types go
 * over the wire as they stand (`sync/heartbeat.ts`). Owns the length of a grant's lease.
 */

/** One group at one ingress. */
export interface GroupUse {
  readonly group: string;
  /** Requests of the last window that have run or may run. */
  readonly used: number;
  /** Requests of the last window, refused ones included. */
  readonly offered: number;
  /** Most requests in a window that the ingress allows now. */
  readonly held: number;
}

/** What an ingress tells with each heartbeat. */
export interface QuotaReport {
  /** Start of the process, in milliseconds since 1970: one that was restarted has forgotten what it ran. */
  readonly startedAt: number;
  /** Milliseconds for which the process has run, by its own steady clock. */
  readonly uptimeMs: number;
  /** Counts the reports of the process, from 1: heartbeats may overtake one another. */
  readonly sequence: number;
  /** The newest report whose answer was adopted; 0 before the first. */
  readonly adopted: number;
  readonly uses: readonly GroupUse[];
}

/** Most requests of one group that an ingress may let run in a window. */
export interface GroupGrant {
  readonly group: string;
  readonly allowance: number;
}

/** What a leader grants in answer to a report; holds for {@link QUOTA_LEASE_MS} from when that was sent. */
export interface QuotaGrants {
  /** The report that is answered. */
  readonly sequence: number;
  readonly grants: readonly GroupGrant[];
}

/**
 * Time for which a grant holds, in milliseconds: as long as a loss of the leader lasts in most cases (detection 0.6 to
 * 1.2 s, election and first heartbeat another second). Shorter, a lost leader refuses groups with a rate; longer, a group
 * runs short for longer after an ingress is lost.
 */
export const QUOTA_LEASE_MS = 4_500;
