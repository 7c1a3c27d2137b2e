/**
 * How a replica without a log begins. A new store is formed only by unanimous promise: each listed
 * replica, once it knows the identities of all, writes down that it forms this set and no other, and
 * only a set that all of them have promised is formed. A disk promises once, so two sets that have a
 * disk in common are the same set. Whoever has formed it passes it on. Where a log has begun already,
 * this replica joins: its own earlier disk may have held votes, so it never votes under its old
 * identity, and under its new one only after it has caught up.
 */
import type { Clock, Timer } from '../common/clock.js';
import { allReplicas } from './peer-progress.js';
import type {
  MessageTarget,
  ProbeFinding,
  ProbeResponse,
  RaftMessage,
  RaftTransport,
} from './raft-types.js';
import type { Replica, ReplicaSet } from '../storage/persisted-state.js';

/** What the replica is to do. */
export type BootstrapDecision =
  { readonly type: 'form'; readonly replicas: ReplicaSet } | { readonly type: 'join' };

export interface BootstrapOptions {
  readonly clock: Clock;
  readonly transport: RaftTransport;
  readonly self: Replica;
  /** Origins of the other replicas listed in the settings. */
  readonly contacts: readonly string[];
  /** Time between two probes, in milliseconds. */
  readonly probeIntervalMs: number;
  /** What this disk has promised before. */
  readonly promised: readonly Replica[] | undefined;
  /** Writes a promise; calls back once it is synced, and not when that fails. */
  readonly savePromise: (replicas: readonly Replica[], done: () => void) => void;
  readonly onDecided: (decision: BootstrapDecision) => void;
}

export class ReplicaBootstrap {
  /** The other replicas by origin, as last heard of. */
  private readonly knownReplicas = new Map<string, Replica>();
  /** What the other replicas have promised, by origin. */
  private readonly promises = new Map<string, readonly Replica[]>();
  private promised: readonly Replica[] | undefined;
  private isPromiseStarted = false;
  private timer: Timer | undefined;
  private decided = false;

  constructor(private readonly options: BootstrapOptions) {
    this.promised = options.promised;
  }

  start(): void {
    this.probe();
    this.advance();
  }

  stop(): void {
    this.decided = true;
    this.timer?.cancel();
  }

  /** Handles a message that came before the replica has a log. Others are dropped. */
  receive(message: RaftMessage): void {
    if (this.decided) return;
    if (message.type === 'probe-request') this.respond(message.from);
    if (message.type === 'probe-response') this.onResponse(message);
  }

  private onResponse({ from, found }: ProbeResponse): void {
    switch (found.type) {
      case 'empty':
        this.knownReplicas.set(from.origin, from);
        if (found.promised !== undefined) this.promises.set(from.origin, found.promised);
        this.advance();
        return;
      case 'formed':
        // A set that was formed with an earlier disk of this machine is of no use to this one.
        if (includes(found.replicas, this.options.self)) {
          this.decide({ type: 'form', replicas: found.replicas });
        }
        return;
      case 'log':
        this.decide({ type: 'join' });
    }
  }

  private probe(): void {
    if (this.decided) return;
    const { contacts, transport, clock, self: from, probeIntervalMs } = this.options;
    for (const origin of contacts) {
      transport.send({ origin, identity: '' }, { type: 'probe-request', from, term: 0 });
    }
    this.timer = clock.schedule(probeIntervalMs, () => this.probe());
  }

  private respond(to: MessageTarget): void {
    const { transport, self: from } = this.options;
    const found: ProbeFinding = { type: 'empty', promised: this.promised };
    transport.send(to, { type: 'probe-response', from, term: 0, found });
  }

  /** Promises once all are known; forms once all have promised the same. */
  private advance(): void {
    const { contacts } = this.options;
    const { promised } = this;
    if (promised === undefined) {
      if (contacts.every((origin) => this.knownReplicas.has(origin))) this.makePromise();
      return;
    }
    const isUnanimous = contacts.every((origin) => isSameSet(this.promises.get(origin), promised));
    if (!isUnanimous) return;
    const replicas: ReplicaSet = {
      voters: promised.filter((replica) => replica.role === 'voter'),
      learners: promised.filter((replica) => replica.role === 'learner'),
    };
    this.decide({ type: 'form', replicas });
  }

  private makePromise(): void {
    if (this.isPromiseStarted) return;
    this.isPromiseStarted = true;
    const all = [this.options.self, ...this.knownReplicas.values()];
    const sorted = all.sort((first, second) => (first.name < second.name ? -1 : 1));
    this.options.savePromise(sorted, () => {
      this.promised = sorted;
      if (!this.decided) this.advance();
    });
  }

  private decide(decision: BootstrapDecision): void {
    this.stop();
    this.options.onDecided(decision);
  }
}

function includes(set: ReplicaSet, replica: Replica): boolean {
  return allReplicas(set).some((other) => other.identity === replica.identity);
}

function isSameSet(first: readonly Replica[] | undefined, second: readonly Replica[]): boolean {
  if (first?.length !== second.length) return false;
  return first.every((replica, index) => replica.identity === second[index]!.identity);
}
