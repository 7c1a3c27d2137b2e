import { expect } from 'chai';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import {
  type AcceptedSet,
  type AcceptorRecord,
  type Ballot,
  newAcceptorRecord,
  type Quorum,
  recordOfPromise,
} from '../../src/consensus/formation.js';
import type {
  FormationMessage,
  ProbeFinding,
  RaftMessage,
} from '../../src/consensus/raft-types.js';
import type { Replica, ReplicaSet } from '../../src/storage/persisted-state.js';
import { ReplicaBootstrap, type BootstrapDecision } from '../../src/consensus/replica-bootstrap.js';

const ACCEPTORS = ['a', 'b', 'c'];
const ELECTION_TIMEOUT_MS = 600;

function replica(name: string, disk = 1): Replica {
  return { identity: `${name}#${disk}`, name, origin: name, role: 'voter' };
}

function setOf(...voters: Replica[]): ReplicaSet {
  return { voters, learners: [] };
}

const [A, B, C] = [replica('a'), replica('b'), replica('c')];
const FIRST = setOf(A, B, C);
const WITH_NEW_A = setOf(replica('a', 2), B, C);

type Sent<Type extends RaftMessage['type']> = Extract<RaftMessage, { readonly type: Type }>;

/** The bootstrap of replica `b`, whose writes are synced only when the test says so. */
class Bootstrap {
  readonly clock = new VirtualClock();
  decision: BootstrapDecision | undefined;
  delay: string | undefined;
  /** The record on disk. */
  record: AcceptorRecord;
  private sent: { readonly to: string; readonly message: RaftMessage }[] = [];
  private pendingSync: (() => void) | undefined;
  private readonly bootstrap: ReplicaBootstrap;

  constructor(
    record: AcceptorRecord = newAcceptorRecord(ACCEPTORS, 'majority'),
    private readonly syncsAtOnce = true,
    maxVoters?: number,
  ) {
    this.record = record;
    this.bootstrap = new ReplicaBootstrap({
      clock: this.clock,
      random: new SeededRandom(1),
      transport: { send: (to, message) => this.sent.push({ to: to.origin, message }) },
      self: B,
      contacts: ['a', 'c'],
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      maxVoters,
      record,
      saveRecord: (next, done) => {
        this.pendingSync = () => {
          this.record = next;
          done();
        };
        if (this.syncsAtOnce) this.sync();
      },
      onDecided: (decision) => (this.decision = decision),
      onDelayed: (problem) => (this.delay = problem),
    });
    this.bootstrap.start();
  }

  sync(): void {
    const pending = this.pendingSync;
    this.pendingSync = undefined;
    pending?.();
  }

  receive(message: RaftMessage): void {
    this.bootstrap.receive(message);
  }

  report(from: Replica, found: ProbeFinding): void {
    this.receive({ type: 'probe-response', from, term: 0, found });
  }

  /** Lets acceptors answer probes for the given time. */
  answerProbes(replicas: readonly Replica[], ms: number): void {
    for (let elapsed = 0; elapsed < ms; elapsed += 50) {
      for (const from of replicas) this.report(from, { type: 'empty', promised: undefined });
      this.clock.advance(50);
    }
  }

  /** Messages of a type sent since the last call. */
  take<Type extends RaftMessage['type']>(type: Type): Sent<Type>[] {
    const taken = this.sent.filter(({ message }) => message.type === type);
    this.sent = this.sent.filter(({ message }) => message.type !== type);
    return taken.map(({ message }) => message as Sent<Type>);
  }

  /** Lets acceptors answer until this replica proposes a set. @returns the ballot */
  propose(answering: readonly Replica[]): Ballot {
    for (let step = 0; step < 100; step += 1) {
      this.answerProbes(answering, 50);
      const [request] = this.take('form-prepare');
      if (request !== undefined) return request.ballot;
    }
    throw new Error('nothing was proposed');
  }

  prepare(from: Replica, ballot: Ballot): void {
    this.receive({ type: 'form-prepare', ...base(from, ballot) });
  }

  promise(from: Replica, ballot: Ballot, accepted?: AcceptedSet): void {
    this.receive({ type: 'form-promise', ...base(from, ballot), accepted });
  }

  accept(from: Replica, ballot: Ballot, replicas: ReplicaSet): void {
    this.receive({ type: 'form-accept', ...base(from, ballot), replicas });
  }

  accepted(from: Replica, ballot: Ballot): void {
    this.receive({ type: 'form-accepted', ...base(from, ballot) });
  }
}

function base(from: Replica, ballot: Ballot): Omit<Sent<'form-prepare'>, 'type'> {
  return { from, term: 0, ballot, acceptors: ACCEPTORS };
}

function ballotOf(round: number, { identity }: Replica): Ballot {
  return { round, proposer: identity };
}

/** A bootstrap that knows of `a` and `c`, with its first proposal. */
function proposing(quorum: Quorum = 'majority', record = newAcceptorRecord(ACCEPTORS, quorum)) {
  const bootstrap = new Bootstrap(record);
  return { bootstrap, ballot: bootstrap.propose([A, C]) };
}

describe('ReplicaBootstrap', () => {
  it('forms its set once a majority has accepted it, and tells the members', () => {
    const { bootstrap, ballot } = proposing();
    bootstrap.promise(C, ballot);
    const [request] = bootstrap.take('form-accept');
    expect(request?.replicas).to.deep.equal(FIRST);
    expect(bootstrap.decision).to.equal(undefined);
    bootstrap.take('probe-response');
    bootstrap.accepted(C, ballot);
    expect(bootstrap.decision).to.deep.equal({ type: 'form', replicas: FIRST, isProposer: true });
    const told = bootstrap.take('probe-response').map(({ found }) => found);
    expect(told).to.deep.equal(Array(2).fill({ type: 'formed', replicas: FIRST }));
  });

  it('forms its set only once all have accepted it, where all have to agree', () => {
    const { bootstrap, ballot } = proposing('all');
    bootstrap.promise(A, ballot);
    expect(bootstrap.take('form-accept')).to.deep.equal([]);
    bootstrap.promise(C, ballot);
    bootstrap.accepted(A, ballot);
    expect(bootstrap.decision).to.equal(undefined);
    bootstrap.accepted(C, ballot);
    expect(bootstrap.decision).to.deep.equal({ type: 'form', replicas: FIRST, isProposer: true });
  });

  it('proposes what another acceptor has accepted at the highest ballot', () => {
    const { bootstrap, ballot } = proposing('all');
    bootstrap.promise(A, ballot, { ballot: ballotOf(0, A), replicas: WITH_NEW_A });
    bootstrap.promise(C, ballot, { ballot: ballotOf(0, C), replicas: FIRST });
    expect(bootstrap.take('form-accept')[0]?.replicas).to.deep.equal(FIRST);
  });

  it('forms no second set on the answers to an earlier ballot', () => {
    const { bootstrap, ballot } = proposing();
    const higher = ballotOf(ballot.round + 1, C);
    bootstrap.prepare(C, higher);
    bootstrap.promise(A, ballot);
    bootstrap.accepted(A, ballot);
    expect(bootstrap.take('form-accept')).to.deep.equal([]);
    expect(bootstrap.decision).to.equal(undefined);
  });

  it('keeps what it has accepted after a restart, whoever comes back with an empty disk', () => {
    const before = new Bootstrap();
    before.accept(A, ballotOf(5, A), FIRST);
    const { bootstrap, ballot } = proposing('majority', before.record);
    expect(ballot.round).to.be.greaterThan(5);
    bootstrap.promise(replica('a', 2), ballot);
    expect(bootstrap.take('form-accept')[0]?.replicas).to.deep.equal(FIRST);
  });

  it('goes on with the promise of an earlier version', () => {
    const record = recordOfPromise([A, B, C], 'majority');
    const { bootstrap, ballot } = proposing('majority', record);
    bootstrap.promise(replica('a', 2), ballot);
    expect(bootstrap.take('form-accept')[0]?.replicas).to.deep.equal(FIRST);
  });

  it('answers only once its record is synced', () => {
    const bootstrap = new Bootstrap(undefined, false);
    bootstrap.prepare(A, ballotOf(1, A));
    expect(bootstrap.take('form-promise')).to.deep.equal([]);
    bootstrap.sync();
    expect(bootstrap.record.promised).to.deep.equal(ballotOf(1, A));
    expect(bootstrap.take('form-promise')).to.have.length(1);
    bootstrap.accept(A, ballotOf(1, A), FIRST);
    expect(bootstrap.take('form-accepted')).to.deep.equal([]);
    bootstrap.sync();
    expect(bootstrap.record.accepted?.replicas).to.deep.equal(FIRST);
    expect(bootstrap.take('form-accepted')).to.have.length(1);
  });

  it('refuses ballots below its promise, also after a restart', () => {
    const before = new Bootstrap();
    before.prepare(A, ballotOf(5, A));
    const after = new Bootstrap(before.record);
    for (const bootstrap of [before, after]) {
      bootstrap.take('form-promise');
      bootstrap.prepare(C, ballotOf(4, C));
      bootstrap.accept(C, ballotOf(4, C), WITH_NEW_A);
      expect(bootstrap.take('form-promise')).to.deep.equal([]);
      expect(bootstrap.take('form-accepted')).to.deep.equal([]);
      const refusals = bootstrap.take('form-refusal').map(({ promised }) => promised);
      expect(refusals).to.deep.equal([ballotOf(5, A), ballotOf(5, A)]);
    }
  });

  it('counts no acceptor that knows of other acceptors, and says so', () => {
    const { bootstrap, ballot } = proposing();
    const other: FormationMessage = {
      type: 'form-promise',
      ...base(C, ballot),
      acceptors: ['b', 'c', 'd'],
      accepted: undefined,
    };
    bootstrap.receive(other);
    expect(bootstrap.take('form-accept')).to.deep.equal([]);
    bootstrap.answerProbes([C], 6_000);
    expect(bootstrap.delay).to.equal(
      '2 of 3 replicas that can form the set answer, a majority is needed; ' +
        'no answer from a; c names other seeds: b, c, d',
    );
  });

  it('proposes without a missing acceptor after an election timeout, and never without a quorum', () => {
    const bootstrap = new Bootstrap();
    bootstrap.answerProbes([], 10 * ELECTION_TIMEOUT_MS);
    expect(bootstrap.take('form-prepare')).to.deep.equal([]);
    bootstrap.answerProbes([C], ELECTION_TIMEOUT_MS - 50);
    expect(bootstrap.take('form-prepare')).to.deep.equal([]);
    const ballot = bootstrap.propose([C]);
    expect(bootstrap.clock.now()).to.be.at.most(11.5 * ELECTION_TIMEOUT_MS);
    bootstrap.promise(C, ballot);
    expect(bootstrap.take('form-accept')[0]?.replicas).to.deep.equal(setOf(B, C));
  });

  it('includes replicas that ask to join: as voters up to the maximum, the seeds first', () => {
    const [joining, fourth, fifth] = [replica('0'), replica('d'), replica('e')];
    const bootstrap = new Bootstrap(undefined, true, 5);
    for (const from of [joining, fourth, fifth]) {
      bootstrap.receive({ type: 'join-request', from, term: 0 });
    }
    bootstrap.report(A, { type: 'joining' });
    const ballot = bootstrap.propose([C]);
    bootstrap.promise(C, ballot);
    const replicas = bootstrap.take('form-accept')[0]?.replicas;
    expect(replicas?.voters.map(({ name }) => name)).to.deep.equal(['a', 'b', 'c', '0', 'd']);
    expect(replicas?.learners).to.deep.equal([fifth]);
  });

  it('adopts a formed set that it is in, and no other', () => {
    const bootstrap = new Bootstrap();
    bootstrap.report(A, { type: 'formed', replicas: setOf(A, replica('b', 9), C) });
    expect(bootstrap.decision).to.equal(undefined);
    bootstrap.report(A, { type: 'formed', replicas: FIRST });
    const decision = { type: 'form', replicas: FIRST, isProposer: false };
    expect(bootstrap.decision).to.deep.equal(decision);
  });

  it('joins where a log has begun', () => {
    const bootstrap = new Bootstrap(recordOfPromise([A, B, C], 'majority'));
    bootstrap.report(C, { type: 'log' });
    expect(bootstrap.decision).to.deep.equal({ type: 'join' });
  });
});
