/**
 * Proposals that the first leader of a replica set holds until the set has enough voters to bear the losses that the
 * deployment tolerates. A command that is acknowledged earlier would be lost with fewer replicas. Voters that are still
 * missing after a limited time count as lost already, so proposals no longer wait for them.
 */
import type { Timer } from '../common/clock.js';
import { votersToBear } from './loss-tolerance.js';
import type { ProposalCallback } from './raft-options.js';
import type { RaftState } from './raft-state.js';

/** Election timeouts for which proposals wait for missing voters. */
const HOLD_TIMEOUTS = 3;

interface HeldProposal {
  readonly data: Uint8Array;
  readonly callback: ProposalCallback;
}

export class HeldProposals {
  private held: HeldProposal[] = [];
  private timer: Timer | undefined;
  /** End of the wait, in monotonic milliseconds. */
  private holdUntil = -Infinity;

  /** @param release appends a proposal to the log */
  constructor(
    private readonly state: RaftState,
    private readonly release: (data: Uint8Array, callback: ProposalCallback) => void,
  ) {}

  /** Starts the wait of a new leader. Only the first command of a log waits, so that a repair delays none. */
  begin(): void {
    const { log, now, options } = this.state;
    if (log.hasCommands) return;
    const waitMs = HOLD_TIMEOUTS * options.electionTimeoutMs;
    this.holdUntil = now + waitMs;
    this.timer = options.clock.schedule(waitMs, () => this.releaseAll());
  }

  /** Adds a proposal, which is released at once unless the set is too small. */
  add(data: Uint8Array, callback: ProposalCallback): void {
    this.held.push({ data, callback });
    this.releaseIfComplete();
  }

  /** Releases all proposals, in order, if the set is large enough or the wait is over. */
  releaseIfComplete(): void {
    const { now, log, options } = this.state;
    const required = votersToBear(options.lossTolerance ?? 0);
    if (log.replicas.voters.length >= required || now >= this.holdUntil) this.releaseAll();
  }

  /** Ends the wait because this replica no longer leads. Held proposals were not appended, so they have no effect. */
  end(): void {
    this.timer?.cancel();
    this.holdUntil = -Infinity;
    const { leader } = this.state;
    for (const { callback } of this.takeAll()) callback({ type: 'not-leader', leader });
  }

  private releaseAll(): void {
    if (this.held.length === 0) return;
    this.timer?.cancel();
    this.holdUntil = -Infinity;
    for (const { data, callback } of this.takeAll()) this.release(data, callback);
  }

  private takeAll(): readonly HeldProposal[] {
    const { held } = this;
    this.held = [];
    return held;
  }
}
