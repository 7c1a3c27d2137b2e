/**
 * One participant in the formation of the initial replica set, acceptor and proposer at once: exchanges the messages of
 * ballots and keeps its record on disk. The rules are in `formation.ts`. It does not decide when to propose.
 */
import type { Replica, ReplicaSet } from '../storage/persisted-state.js';
import { FormationAcceptor, type SaveRecord } from './formation-acceptor.js';
import {
  type AcceptorRecord,
  type Ballot,
  compareBallots,
  hasSameAcceptors,
  newProposal,
  onAccepted,
  onPromise,
  type Proposal,
} from './formation.js';
import type {
  FormAccept,
  FormAccepted,
  FormationMessage,
  FormPrepare,
  FormPromise,
  FormRefusal,
  MessageTarget,
  RaftTransport,
} from './raft-types.js';

export interface FormationPeerOptions {
  readonly self: Replica;
  /** Record of this acceptor, as read from disk. */
  readonly record: AcceptorRecord;
  readonly saveRecord: SaveRecord;
  readonly transport: RaftTransport;
  /** Called when the set of this replica's own proposal is chosen. */
  readonly onChosen: (replicas: ReplicaSet) => void;
  /** Called when a ballot of another proposer begins. */
  readonly onOtherBallot: () => void;
  /** Called when an acceptor, here or elsewhere, has agreed to the ballot under way for the first time. */
  readonly onProgress: () => void;
}

export class FormationPeer {
  private readonly acceptor: FormationAcceptor;
  /** This replica's own proposal, while it is under way. */
  protected proposal: Proposal | undefined;
  /** Highest round that another acceptor has reported. */
  protected highestRound = 0;
  /** Whether the promise of this replica to its own proposal is being written. */
  private isStarting = false;
  private mismatch: string | undefined;
  private isStopped = false;

  constructor(private readonly options: FormationPeerOptions) {
    this.acceptor = new FormationAcceptor(options.record, options.saveRecord);
  }

  get record(): AcceptorRecord {
    return this.acceptor.record;
  }

  /** Whether this replica's own proposal is under way. */
  get isProposing(): boolean {
    return this.isStarting || (this.proposal !== undefined && this.proposal.phase !== 'chosen');
  }

  /** Another acceptor whose messages don't count, and why; undefined if there is none. */
  get problem(): string | undefined {
    return this.mismatch;
  }

  stop(): void {
    this.isStopped = true;
    this.proposal = undefined;
  }

  /**
   * Proposes a set, which may end in another one being chosen. The first promise is this replica's own, synced before
   * others see the ballot, so that no ballot is used twice.
   */
  propose(replicas: ReplicaSet): void {
    const { acceptor, highestRound } = this;
    const { identity, origin } = this.options.self;
    const proposal = newProposal(acceptor.record, identity, replicas, highestRound);
    this.proposal = undefined;
    this.isStarting = true;
    acceptor.prepare(proposal.ballot, (accepted) => {
      this.isStarting = false;
      if (this.isStopped || !isSame(acceptor.record.promised, proposal.ballot)) return;
      this.proposal = onPromise(proposal, acceptor.record, origin, accepted);
      this.options.onProgress();
      if (this.proposal.phase === 'prepare') this.sendRequests();
      else this.requestAcceptance();
    });
  }

  /** Sends the requests of the current phase to the acceptors that have not agreed yet. Repeated, as they may be lost. */
  sendRequests(): void {
    const { proposal, options } = this;
    if (proposal === undefined) return;
    const { ballot, replicas, phase, agreed } = proposal;
    const message: FormationMessage =
      phase === 'prepare'
        ? { type: 'form-prepare', ...this.base(ballot) }
        : { type: 'form-accept', ...this.base(ballot), replicas };
    for (const origin of this.record.acceptors) {
      if (origin === options.self.origin || agreed.includes(origin)) continue;
      this.send({ origin, identity: '' }, message);
    }
  }

  receive(message: FormationMessage): void {
    const { acceptors } = this.record;
    if (hasSameAcceptors(message.acceptors, acceptors)) {
      this.dispatch(message);
      return;
    }
    this.mismatch = `${message.from.origin} names other seeds: ${message.acceptors.join(', ')}`;
    // The refusal tells the proposer which acceptors this replica knows of.
    if (message.type === 'form-prepare' || message.type === 'form-accept') this.refuse(message);
  }

  private dispatch(message: FormationMessage): void {
    switch (message.type) {
      case 'form-prepare':
        this.onPrepare(message);
        return;
      case 'form-accept':
        this.onAccept(message);
        return;
      case 'form-promise':
        this.onPromise(message);
        return;
      case 'form-accepted':
        this.onAccepted(message);
        return;
      case 'form-refusal':
        this.onRefusal(message);
    }
  }

  private onPrepare(message: FormPrepare): void {
    const { from, ballot } = message;
    this.giveWayTo(ballot);
    const isPromised = this.acceptor.prepare(ballot, (accepted) => {
      this.send(from, { type: 'form-promise', ...this.base(ballot), accepted });
    });
    if (!isPromised) this.refuse(message);
  }

  private onAccept(message: FormAccept): void {
    const { from, ballot, replicas } = message;
    this.giveWayTo(ballot);
    const { record } = this;
    const isAccepted = this.acceptor.accept({ ballot, replicas }, () => {
      this.send(from, { type: 'form-accepted', ...this.base(ballot) });
    });
    if (!isAccepted) this.refuse(message);
    else if (this.record !== record) this.options.onProgress();
  }

  /** Ends this replica's own proposal at the first message of a higher ballot. */
  private giveWayTo(ballot: Ballot): void {
    if (compareBallots(ballot, this.record.promised) <= 0) return;
    this.proposal = undefined;
    this.options.onOtherBallot();
  }

  private refuse({ from, ballot }: FormPrepare | FormAccept): void {
    const { promised } = this.record;
    this.send(from, { type: 'form-refusal', ...this.base(ballot), promised });
  }

  private onPromise({ from, ballot, accepted }: FormPromise): void {
    const { proposal } = this;
    if (proposal?.phase !== 'prepare' || !isSame(proposal.ballot, ballot)) return;
    if (!proposal.agreed.includes(from.origin)) this.options.onProgress();
    this.proposal = onPromise(proposal, this.record, from.origin, accepted);
    this.requestAcceptance();
  }

  private onAccepted({ from, ballot }: Pick<FormAccepted, 'from' | 'ballot'>): void {
    const { proposal } = this;
    if (proposal?.phase !== 'accept' || !isSame(proposal.ballot, ballot)) return;
    if (!proposal.agreed.includes(from.origin)) this.options.onProgress();
    this.proposal = onAccepted(proposal, this.record, from.origin);
    if (this.proposal.phase === 'chosen') this.options.onChosen(proposal.replicas);
  }

  private onRefusal({ ballot, promised }: FormRefusal): void {
    this.highestRound = Math.max(this.highestRound, promised.round);
    if (this.proposal !== undefined && isSame(this.proposal.ballot, ballot)) {
      this.proposal = undefined;
    }
  }

  /** Once a quorum has promised: accepts the set here, and asks the other acceptors to. */
  private requestAcceptance(): void {
    const { proposal, acceptor } = this;
    if (proposal?.phase !== 'accept') return;
    const { ballot, replicas } = proposal;
    const from = this.options.self;
    acceptor.accept({ ballot, replicas }, () => this.onAccepted({ from, ballot }));
    this.sendRequests();
  }

  private base(ballot: Ballot): Omit<FormPrepare, 'type'> {
    return { from: this.options.self, term: 0, ballot, acceptors: this.record.acceptors };
  }

  private send(to: MessageTarget, message: FormationMessage): void {
    if (!this.isStopped) this.options.transport.send(to, message);
  }
}

function isSame(first: Ballot, second: Ballot): boolean {
  return compareBallots(first, second) === 0;
}
