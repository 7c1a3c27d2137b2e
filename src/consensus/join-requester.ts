/**
 * Sends join requests while a replica has no replica set. They are frequent, so that replicas that form a set at the
 * moment hear of this one in time to include it.
 */
import type { Timer } from '../common/clock.js';
import type { RaftState } from './raft-state.js';

/** Requests sent per election timeout. */
const REQUESTS_PER_TIMEOUT = 6;

export class JoinRequester {
  private timer: Timer | undefined;

  constructor(private readonly state: RaftState) {}

  start(): void {
    const { state } = this;
    const { clock, contacts, electionTimeoutMs } = state.options;
    if (!state.isActive || state.log.replicas.voters.length > 0) return;
    const { self: from, term } = state;
    for (const origin of contacts) {
      state.send({ origin, identity: '' }, { type: 'join-request', from, term });
    }
    this.timer = clock.schedule(electionTimeoutMs / REQUESTS_PER_TIMEOUT, () => this.start());
  }

  stop(): void {
    this.timer?.cancel();
  }
}
