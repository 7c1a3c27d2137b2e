/**
 * Bootstraps a replica without a log: forms a new replica set or joins an existing one. Once a replica knows the
 * identities of all configured replicas, it durably promises to form exactly this set; the set is formed when all have
 * promised the same one. A replica promises only once, so two overlapping sets can't both be formed. If another replica
 * already has log entries, this one joins as a learner under its new identity: before it lost its disk it may have
 * voted.
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

/** Result of the bootstrap. */
export type BootstrapDecision =
  { readonly type: 'form'; readonly replicas: ReplicaSet } | { readonly type: 'join' };

export interface BootstrapOptions {
  readonly clock: Clock;
  readonly transport: RaftTransport;
  readonly self: Replica;
  /** Origins of the other configured replicas. */
  readonly contacts: readonly string[];
  /** Interval between probes, in milliseconds. */
  readonly probeIntervalMs: number;
  /** Replica set that this replica has promised before, as read from disk. */
  readonly promised: readonly Replica[] | undefined;
  /** Writes a promise to disk. Calls `done` once it is synced, and never if the write fails. */
  readonly savePromise: (replicas: readonly Replica[], done: () => void) => void;
  readonly onDecided: (decision: BootstrapDecision) => void;
}

export class ReplicaBootstrap {
  /** The other replicas as last reported, by origin. */
  private readonly knownReplicas = new Map<string, Replica>();
  /** Replica sets promised by the other replicas, by origin. */
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

  /** Processes probe messages. All others are dropped until the bootstrap is complete. */
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
        // A set formed with an earlier identity of this replica does not include the current one.
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

  /** Makes a promise once all replicas are known, and forms the set once all have promised the same one. */
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
