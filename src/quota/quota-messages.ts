/**
 * The quota messages between ingresses and control, which are part of heartbeats and their answers
 * (`sync/heartbeat.ts`). These types are the wire format.
 */

/** The usage of one group at one ingress. */
export interface GroupUse {
  readonly group: string;
  /** Requests in the last window that have run or may have run. */
  readonly used: number;
  /** All requests in the last window, including refused ones. */
  readonly offered: number;
  /** Requests per window that the ingress may currently run. */
  readonly held: number;
  /** Requests of the last second, projected to a window. Absent in reports of older processes. */
  readonly projected?: number | undefined;
  /**
   * Requests that wait although the group is at its limit, which only its most urgent kinds do. Absent if there are none, and
   * in reports of older processes.
   */
  readonly waiting?: number | undefined;
}

/** The quota report of an ingress, sent with each heartbeat. */
export interface QuotaReport {
  /** Start time of the process, in milliseconds since 1970. A change means that the counts of the process were lost. */
  readonly startedAt: number;
  /** Time since the start of the process, in milliseconds, by its monotonic clock. */
  readonly uptimeMs: number;
  /** Number of the report, from 1: heartbeats may arrive out of order. */
  readonly sequence: number;
  /** Sequence number of the newest report whose answer was applied; 0 before the first. */
  readonly adopted: number;
  readonly uses: readonly GroupUse[];
}

/** Maximum number of requests of one group that an ingress may run in a window. */
export interface GroupGrant {
  readonly group: string;
  readonly allowance: number;
  /** Whether all ingresses together ask for more than the group's limit. Absent if not, and in answers of older processes. */
  readonly isLimited?: boolean | undefined;
}

/** The answer of a leader to a report. Valid for {@link QUOTA_LEASE_MS} from when the report was sent. */
export interface QuotaGrants {
  /** Sequence number of the report that is answered. */
  readonly sequence: number;
  readonly grants: readonly GroupGrant[];
}

/**
 * Lease duration of a grant, in milliseconds. Longer than a leader change usually takes (0.6 to 1.2 s until it is detected,
 * another second until the first heartbeat), since requests are refused once the lease has expired. With a longer lease, the
 * share of a failed ingress would stay unused for longer.
 */
export const QUOTA_LEASE_MS = 4_500;

/** Time in milliseconds whose requests are projected to a window. */
export const PROJECTED_MS = 1_000;
