/**
 * Replicates the leader's log to its peers: tracks the progress of each one and sends it missing entries or a snapshot.
 */
import type { Replica } from '../storage/persisted-state.js';
import type { PeerProgress } from './peer-progress.js';
import type { RaftState } from './raft-state.js';
import type { AppendResponse } from './raft-types.js';

/** Maximum number of entries in one message, which bounds the message size for a peer that is far behind. */
const MAX_ENTRIES_PER_APPEND = 200;

export class PeerReplication {
  private readonly progress = new Map<string, PeerProgress>();
  private currentRound = 0;

  constructor(private readonly state: RaftState) {}

  /** Number of the current heartbeat round. */
  get round(): number {
    return this.currentRound;
  }

  /** Starts the next heartbeat round. @returns its number */
  beginRound(): number {
    this.currentRound += 1;
    return this.currentRound;
  }

  /** Discards the progress of all peers. */
  clear(): void {
    this.progress.clear();
  }

  /** Returns the progress of a peer. For a new peer it is created, with the current time as its last response. */
  progressOf(identity: string): PeerProgress {
    let progress = this.progress.get(identity);
    if (progress === undefined) {
      progress = {
        nextIndex: this.state.log.lastIndex + 1,
        matchIndex: 0,
        answeredRound: 0,
        lastResponseAt: this.state.now,
        snapshotSentAt: -Infinity,
      };
      this.progress.set(identity, progress);
    }
    return progress;
  }

  /** Sends every peer its missing entries, or a heartbeat if there are none. */
  sendToAll(): void {
    for (const peer of this.state.peers) this.sendEntries(peer);
  }

  /** Sends a peer its missing entries, if there are any. */
  sendIfBehind(identity: string, { nextIndex }: PeerProgress): void {
    const { state } = this;
    const peer = state.peers.find((other) => other.identity === identity);
    const isBehind = nextIndex <= state.log.lastIndex;
    if (peer !== undefined && isBehind) this.sendEntries(peer);
  }

  /** Updates the progress of a peer from its response. @returns the progress */
  onResponse(response: AppendResponse): PeerProgress {
    const progress = this.progressOf(response.from.identity);
    progress.lastResponseAt = this.state.now;
    progress.answeredRound = Math.max(progress.answeredRound, response.round);
    if (!response.success) {
      progress.nextIndex = Math.max(1, Math.min(progress.nextIndex - 1, response.matchIndex + 1));
      return progress;
    }
    progress.matchIndex = Math.max(progress.matchIndex, response.matchIndex);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    return progress;
  }

  private sendEntries(peer: Replica): void {
    const { state } = this;
    const { nextIndex } = this.progressOf(peer.identity);
    const previousIndex = nextIndex - 1;
    const previousTerm = state.log.termAt(previousIndex);
    if (previousTerm === undefined) {
      this.sendSnapshot(peer);
      return;
    }
    state.send(peer, {
      type: 'append-request',
      from: state.self,
      term: state.term,
      previousIndex,
      previousTerm,
      entries: state.log.entriesFrom(nextIndex, MAX_ENTRIES_PER_APPEND),
      commitIndex: state.commitIndex,
      round: this.round,
    });
  }

  /** Sends the latest snapshot, at most once per half election timeout because snapshots are large. */
  private sendSnapshot(peer: Replica): void {
    const { state, round } = this;
    const { snapshot } = state.log;
    const progress = this.progressOf(peer.identity);
    const waitMs = state.options.electionTimeoutMs / 2;
    if (snapshot === undefined || state.now - progress.snapshotSentAt < waitMs) return;
    progress.snapshotSentAt = state.now;
    const { self: from, term } = state;
    state.send(peer, { type: 'snapshot-request', from, term, snapshot, round });
  }
}
