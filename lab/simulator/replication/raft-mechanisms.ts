/**
 * Lab-only switches that disable safeguards of the replicated log, so that a scenario can show the failure
 * that each prevents. The product always uses the base classes.
 */
import { Election } from '../../../src/consensus/election.js';
import { Leadership } from '../../../src/consensus/leadership.js';
import type { RaftParts } from '../../../src/consensus/raft-node.js';

/** Safeguards of the replicated log; true means enabled, as in the product. */
export interface RaftMechanisms {
  /** A replica holds a pre-vote before it increments the term. */
  readonly preVote: boolean;
  /** A leader without contact to a majority steps down. */
  readonly checkQuorum: boolean;
  /** A majority confirms the leader before a read is served. */
  readonly confirmReads: boolean;
  /** A learner becomes a voter only once it has caught up, and while it answers. */
  readonly catchUpBeforeVote: boolean;
}

export const ALL_RAFT_MECHANISMS: RaftMechanisms = {
  preVote: true,
  checkQuorum: true,
  confirmReads: true,
  catchUpBeforeVote: true,
};

/** Returns the classes of a replica with the given safeguards. */
export function raftPartsWith(mechanisms: RaftMechanisms): RaftParts {
  return { Election: electionWith(mechanisms), Leadership: leadershipWith(mechanisms) };
}

function electionWith({ preVote }: RaftMechanisms): typeof Election {
  return class extends Election {
    protected override startElection(): void {
      if (preVote) super.startElection();
      else this.becomeCandidate();
    }
  };
}

function leadershipWith(mechanisms: RaftMechanisms): typeof Leadership {
  return class extends Leadership {
    override get confirmedAt(): number | undefined {
      const { state } = this;
      if (mechanisms.confirmReads || state.role !== 'leader') return super.confirmedAt;
      return state.now;
    }

    override confirmRead(callback: (index: number | undefined) => void): void {
      const { state } = this;
      if (mechanisms.confirmReads || !state.hasCommittedInTerm) super.confirmRead(callback);
      else callback(state.commitIndex);
    }

    protected override hasQuorum(): boolean {
      return !mechanisms.checkQuorum || super.hasQuorum();
    }

    protected override hasCaughtUp(identity: string): boolean {
      return !mechanisms.catchUpBeforeVote || super.hasCaughtUp(identity);
    }

    protected override isAnswering(identity: string): boolean {
      return !mechanisms.catchUpBeforeVote || super.isAnswering(identity);
    }
  };
}
