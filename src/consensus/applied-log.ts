/** Applies committed entries to the state machine, completes pending proposals and takes snapshots. */
import type { ProposalCallback, ProposalOutcome } from './raft-options.js';
import type { RaftState } from './raft-state.js';
import type { LogEntry, Snapshot } from '../storage/persisted-state.js';

/** Number of entries between two snapshots. Bounds the part of the log that is replayed at startup. */
const DEFAULT_SNAPSHOT_INTERVAL = 1_000;

interface Proposal {
  readonly term: number;
  readonly callback: ProposalCallback;
}

export class AppliedLog {
  /** Index of the last entry applied to the state machine. */
  appliedIndex: number;
  private snapshotIndex: number;
  private readonly proposals = new Map<number, Proposal>();

  constructor(
    private readonly state: RaftState,
    private readonly onApplied: (appliedIndex: number) => void,
  ) {
    const { snapshot } = state.log;
    this.appliedIndex = snapshot?.index ?? 0;
    this.snapshotIndex = this.appliedIndex;
    if (snapshot !== undefined) state.options.stateMachine.restoreSnapshot(snapshot.data);
  }

  /** Calls `callback` once the entry at `index` is applied; the outcome is `unknown` if its term is not `term`. */
  trackProposal(index: number, term: number, callback: ProposalCallback): void {
    this.proposals.set(index, { term, callback });
  }

  /** Advances the commit index to `index` and applies all entries up to it. */
  commitUpTo(index: number): void {
    if (index <= this.state.commitIndex) return;
    this.state.commitIndex = index;
    while (this.appliedIndex < index) this.apply(this.state.log.entryAt(this.appliedIndex + 1)!);
    this.onApplied(this.appliedIndex);
    this.takeSnapshotIfDue();
  }

  /** Restores the state machine from a snapshot received from the leader. */
  installSnapshot(snapshot: Snapshot): void {
    this.state.commitIndex = snapshot.index;
    this.appliedIndex = snapshot.index;
    this.snapshotIndex = snapshot.index;
    this.state.options.stateMachine.restoreSnapshot(snapshot.data);
    this.onApplied(this.appliedIndex);
  }

  /** Completes all pending proposals with the given outcome. */
  failProposals(outcome: ProposalOutcome): void {
    const proposals = [...this.proposals.values()];
    this.proposals.clear();
    for (const proposal of proposals) proposal.callback(outcome);
  }

  private apply(entry: LogEntry): void {
    const { payload, index } = entry;
    this.appliedIndex = index;
    const { stateMachine } = this.state.options;
    const result = payload.type === 'command' ? stateMachine.apply(payload.data) : undefined;
    const proposal = this.proposals.get(index);
    if (proposal === undefined) return;
    this.proposals.delete(index);
    const isOwn = proposal.term === entry.term;
    proposal.callback(isOwn ? { type: 'applied', result } : { type: 'unknown' });
  }

  private takeSnapshotIfDue(): void {
    const { log, options } = this.state;
    const interval = options.snapshotInterval ?? DEFAULT_SNAPSHOT_INTERVAL;
    if (this.appliedIndex - this.snapshotIndex < interval) return;
    const snapshot: Snapshot = {
      index: this.appliedIndex,
      term: log.termAt(this.appliedIndex)!,
      replicas: log.replicasAt(this.appliedIndex),
      data: options.stateMachine.takeSnapshot(),
    };
    this.snapshotIndex = snapshot.index;
    options.storage.saveSnapshot(snapshot, (error) => {
      this.state.afterWrite(error, () => log.compact(snapshot));
    });
  }
}
