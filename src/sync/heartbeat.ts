/**
 * The heartbeat that each follower (a node, edge or sidecar, not the Raft role) sends to every control replica, and the
 * answer. These types are the wire format.
 */
import type { CrashUpdate } from '../quarantine/crash-report.js';
import type { QuotaGrants, QuotaReport } from '../quota/quota-messages.js';
import type { EndpointState } from '../call/endpoint.js';
import type { EndpointPosition } from './sync-protocol.js';

/** The state that a process reports about itself. */
export interface Heartbeat {
  readonly id: string;
  readonly role: 'node' | 'edge';
  /** Start time of the process, in milliseconds since 1970. */
  readonly incarnation: number;
  readonly zone: string;
  /** Set for nodes. */
  readonly service: string | undefined;
  /** Origin for inbound calls; set for nodes. */
  readonly origin: string | undefined;
  readonly state: EndpointState;
  /** Configuration revision that the process currently applies. */
  readonly appliedRevision: number;
  /** Epoch of the service's claim view that the node has completely adopted; 0 for edges. */
  readonly claimEpoch: number;
  /** Crashes of targets; absent if there are none. */
  readonly crashNews?: CrashUpdate | undefined;
  /** Usage of groups with a quota; absent if there are none. */
  readonly quota?: QuotaReport | undefined;
}

/** The answer to a heartbeat. */
export type HeartbeatReply =
  | {
      readonly type: 'ok';
      readonly revision: number;
      /** Whether the replica has a leader and therefore receives every change. */
      readonly isCurrent: boolean;
      /** Origins of all control replicas known to the replica. */
      readonly controlOrigins?: readonly string[];
      /** Version of the replica's endpoint list; absent in answers of older versions. */
      readonly endpoints?: EndpointPosition;
      /** Set by a leader: `revision` includes all changes acknowledged up to this many milliseconds ago. */
      readonly confirmedAgeMs?: number | undefined;
      /** Set by a leader: the quota grants of the process. */
      readonly quota?: QuotaGrants | undefined;
    }
  /** A newer process has the same id; this one must stop accepting calls. */
  | { readonly type: 'superseded' };
