/** Interface of the replicated log as the control server uses it: ordered commands and consistent reads. */
import type { LogStatus } from '../sync/status-report.js';
import type { LeaderTerms } from '../quota/group-ceilings.js';
import type {
  DeclareCommand,
  DeclareResult,
  QuotaCeilingsCommand,
  QuotaCeilingsResult,
  ResourceCommand,
  ResourceResult,
} from './commands.js';

/** Reason why this replica could not serve a command or a read. */
export type LogRefusal =
  /** This replica is not the leader; `leaderOrigin` is set when the leader is known. */
  | { readonly type: 'not-leader'; readonly leaderOrigin: string | undefined }
  /** No quorum responded in time; a command may still take effect later. */
  | { readonly type: 'no-quorum' }
  /** The disk failed; this replica accepts no further commands. */
  | { readonly type: 'storage-failed' };

/** Outcome of a proposal. */
export type ProposeResult<Result> =
  | { readonly type: 'applied'; readonly result: Result }
  | { readonly type: 'refused'; readonly refusal: LogRefusal };

export interface CommandLog {
  /** Replicates a command, applies it and resolves with its result. */
  propose(command: QuotaCeilingsCommand): Promise<ProposeResult<QuotaCeilingsResult>>;
  propose(command: ResourceCommand): Promise<ProposeResult<ResourceResult>>;
  propose(command: DeclareCommand): Promise<ProposeResult<DeclareResult>>;
  /**
   * Resolves with undefined once a quorum has confirmed that the local state includes everything accepted before the call,
   * or with a refusal.
   */
  readBarrier(): Promise<LogRefusal | undefined>;
  status(): LogStatus;
  /** The terms of this leader; undefined if this replica does not lead or no majority has confirmed it yet. */
  leaderTerms(): LeaderTerms | undefined;
  /** Number of replicas that can be lost now, with their disks; undefined if this replica does not lead. */
  bearableLosses(): number | undefined;
  /** Removes all replicas with a name. @returns false when this replica currently cannot */
  removeReplica(name: string): boolean;
  close(): Promise<void>;
}
