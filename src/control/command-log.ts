/**
 * What the control server needs from replication: ordered commands and consistent reads. An interface, so that tests bring a
 * log of their own; `replicated-command-log.ts` is the one of the product.
 */
import type { LogStatus } from '../sync/status-report.js';
import type { DeclareCommand, DeclareResult, ResourceCommand, ResourceResult } from './commands.js';

/** Why a command or a read could not be served by this replica. */
export type LogRefusal =
  /** Another replica leads; `leaderOrigin` when it is known. */
  | { readonly type: 'not-leader'; readonly leaderOrigin: string | undefined }
  /** No quorum answered in time: a command may or may not take effect later. */
  | { readonly type: 'no-quorum' }
  /** The disk failed; nothing is accepted any more. */
  | { readonly type: 'storage-failed' };

/** The answer to a proposal. */
export type ProposeResult<Result> =
  | { readonly type: 'applied'; readonly result: Result }
  | { readonly type: 'refused'; readonly refusal: LogRefusal };

export interface CommandLog {
  /** Replicates a command and applies it. */
  propose(command: ResourceCommand): Promise<ProposeResult<ResourceResult>>;
  propose(command: DeclareCommand): Promise<ProposeResult<DeclareResult>>;
  /**
   * Resolves when the local state includes everything accepted before the call, as a quorum
   * confirms. Resolves with a refusal when that cannot be had.
   */
  readBarrier(): Promise<LogRefusal | undefined>;
  status(): LogStatus;
  /** Removes the replicas of a name. @returns false when this replica can't do that now */
  removeReplica(name: string): boolean;
  close(): Promise<void>;
}
