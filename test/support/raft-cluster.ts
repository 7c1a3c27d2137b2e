/** A Raft cluster in virtual time whose links a test can cut individually. */
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { RaftNode } from '../../src/consensus/raft-node.js';
import type { ProposalOutcome, RaftOptions } from '../../src/consensus/raft-options.js';
import type { MessageTarget, RaftMessage } from '../../src/consensus/raft-types.js';
import type { RaftStorage, Replica, ReplicaSet } from '../../src/storage/persisted-state.js';
import {
  ALL_RAFT_MECHANISMS,
  raftPartsWith,
  type RaftMechanisms,
} from '../../lab/simulator/replication/raft-mechanisms.js';

export const ELECTION_TIMEOUT_MS = 100;
const LATENCY_MS = 1;

/** Log storage whose writes are synced immediately. */
const INSTANT_STORAGE: RaftStorage = {
  saveHardState: (_state, done) => done(undefined),
  appendEntries: (_entries, done) => done(undefined),
  saveSnapshot: (_snapshot, done) => done(undefined),
};

export class RaftCluster {
  readonly clock = new VirtualClock();
  readonly nodes = new Map<string, RaftNode>();
  /** Applied commands by node. */
  readonly applied = new Map<string, string[]>();
  private readonly cuts = new Set<string>();

  /** @param skippedDraws the first draws of the nodes are about equal, as their seeds are consecutive */
  constructor(
    names: readonly string[],
    private readonly mechanisms: Partial<RaftMechanisms> = {},
    learners: readonly string[] = [],
    private readonly skippedDraws = 0,
    private readonly options: Pick<RaftOptions, 'lossTolerance' | 'maxVoters'> = {},
  ) {
    const replicas: ReplicaSet = {
      voters: names.map(replicaOf),
      learners: learners.map(replicaOf),
    };
    for (const name of [...names, ...learners]) this.startNode(name, replicas);
  }

  node(name: string): RaftNode {
    return this.nodes.get(name)!;
  }

  /** Starts a node outside the replica set that requests to join. */
  join(name: string): void {
    this.startNode(name, { voters: [], learners: [] });
  }

  /** Drops all messages between two nodes in both directions. */
  cut(first: string, second: string): void {
    this.cuts.add(linkOf(first, second));
  }

  /** Isolates a node from all others. */
  isolate(name: string): void {
    for (const other of this.nodes.keys()) if (other !== name) this.cut(name, other);
  }

  heal(): void {
    this.cuts.clear();
  }

  /** Advances the clock until a leader has committed an entry. @returns the leader's name */
  electLeader(candidates: readonly string[] = [...this.nodes.keys()]): string {
    for (let step = 0; step < 200; step += 1) {
      this.clock.advance(ELECTION_TIMEOUT_MS / 4);
      for (const name of candidates) {
        const { role, commitIndex, lastIndex } = this.node(name).status();
        if (role === 'leader' && commitIndex === lastIndex) return name;
      }
    }
    throw new Error('no leader was elected');
  }

  propose(name: string, text: string): { outcome: ProposalOutcome | undefined } {
    const result: { outcome: ProposalOutcome | undefined } = { outcome: undefined };
    this.node(name).propose(Buffer.from(text), (outcome) => {
      result.outcome = outcome;
    });
    return result;
  }

  read(name: string): { confirmed: boolean | undefined } {
    const result: { confirmed: boolean | undefined } = { confirmed: undefined };
    this.node(name).readBarrier((confirmed) => {
      result.confirmed = confirmed;
    });
    return result;
  }

  private startNode(name: string, replicas: ReplicaSet): void {
    const applied: string[] = [];
    this.applied.set(name, applied);
    const data = Buffer.alloc(0);
    const random = new SeededRandom(this.nodes.size + 1);
    for (let draw = 0; draw < this.skippedDraws; draw += 1) random.next();
    const node = new RaftNode(
      {
        clock: this.clock,
        random,
        storage: INSTANT_STORAGE,
        transport: { send: (to, message) => this.send(name, to, message) },
        stateMachine: {
          apply: (bytes) => applied.push(Buffer.from(bytes).toString()),
          takeSnapshot: () => data,
          restoreSnapshot: () => undefined,
        },
        self: replicaOf(name),
        electionTimeoutMs: ELECTION_TIMEOUT_MS,
        contacts: [...this.nodes.keys()],
        ...this.options,
        onStorageFailure: (error) => {
          throw error;
        },
      },
      {
        hardState: { term: 0, votedFor: '' },
        snapshot: replicas.voters.length === 0 ? undefined : { index: 0, term: 0, replicas, data },
        entries: [],
      },
      raftPartsWith({ ...ALL_RAFT_MECHANISMS, ...this.mechanisms }),
    );
    this.nodes.set(name, node);
    node.start();
  }

  private send(from: string, to: MessageTarget, message: RaftMessage): void {
    if (this.cuts.has(linkOf(from, to.origin))) return;
    this.clock.schedule(LATENCY_MS, () => this.nodes.get(to.origin)?.receive(message));
  }
}

function replicaOf(name: string): Replica {
  return { identity: name, name, origin: name, role: 'voter' };
}

function linkOf(first: string, second: string): string {
  return [first, second].sort().join('|');
}
