/**
 * Heartbeats: what a process that follows control reports of itself to each replica, and the answer. A follower here is such a
 * process, never the Raft role. Types alone; they are the wire form.
 */
import type { CrashNews } from '../quarantine/crash-report.js';
import type { QuotaGrants, QuotaReport } from '../quota/quota-messages.js';
import type { EndpointState } from '../call/endpoint.js';
import type { EndpointPosition } from './sync-protocol.js';

/** What a process says of itself. */
export interface Heartbeat {
  readonly id: string;
  readonly role: 'node' | 'edge';
  /** Wall-clock milliseconds at which the process started. */
  readonly incarnation: number;
  readonly zone: string;
  /** Set for nodes. */
  readonly service: string | undefined;
  /** Inbound origin; set for nodes. */
  readonly origin: string | undefined;
  readonly state: EndpointState;
  /** Revision that the process applies now. */
  readonly appliedRevision: number;
  /** Epoch of its service's claim view that a node has taken over in full; 0 for edges. */
  readonly claimEpoch: number;
  /** Crashes of targets; absent where there are none. */
  readonly crashNews?: CrashNews | undefined;
  /** Requests of groups with a limit; absent where there are none. */
  readonly quota?: QuotaReport | undefined;
}

/** The answer to a heartbeat. */
export type HeartbeatReply =
  | {
      readonly type: 'ok';
      readonly revision: number;
      /** Whether the replica has a leader, so that it receives every change. */
      readonly isCurrent: boolean;
      /** Origins of all control replicas, as far as the replica knows them. */
      readonly controlOrigins?: readonly string[];
      /** Where the replica's endpoint list stands; missing in answers of versions that don't tell. */
      readonly endpoints?: EndpointPosition;
      /** From a leader: milliseconds ago up to which `revision` holds every acknowledged change. */
      readonly confirmedAgeMs?: number | undefined;
      /** From a leader: what the process may let run of groups with a limit. */
      readonly quota?: QuotaGrants | undefined;
    }
  /** Another process with the same id is newer: this one must stop taking calls. */
  | { readonly type: 'superseded' };
