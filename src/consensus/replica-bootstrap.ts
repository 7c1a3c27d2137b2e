/**
 * Bootstraps a replica without a log that is an acceptor of the initial replica set: forms the set together with the
 * other acceptors, by the rules in `formation.ts`, or joins a set that has a log already. Relies on the acceptor's
 * record: a replica that has lost it must not bootstrap, unless a quorum is all acceptors.
 */
import type { Clock, Timer } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import type { Replica, ReplicaSet } from '../storage/persisted-state.js';
import type { SaveRecord } from './formation-acceptor.js';
import { FormationPeer } from './formation-peer.js';
import type { AcceptorRecord } from './formation.js';
import { KnownReplicas } from './known-replicas.js';
import { allReplicas } from './peer-progress.js';
import { ProposalSchedule } from './proposal-schedule.js';
import type { MessageTarget, ProbeResponse, RaftMessage, RaftTransport } from './raft-types.js';

/** Result of the bootstrap. */
export type BootstrapDecision =
  | {
      readonly type: 'form';
      readonly replicas: ReplicaSet;
      /** Whether this replica proposed the set, and so is the first to know that it is formed. */
      readonly isProposer: boolean;
    }
  | { readonly type: 'join' };

export interface BootstrapOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly transport: RaftTransport;
  readonly self: Replica;
  /** Origins of the other configured replicas. */
  readonly contacts: readonly string[];
  readonly electionTimeoutMs: number;
  /** Maximum number of voters; unlimited if undefined. */
  readonly maxVoters: number | undefined;
  /** Record of this acceptor, as read from disk. */
  readonly record: AcceptorRecord;
  readonly saveRecord: SaveRecord;
  readonly onDecided: (decision: BootstrapDecision) => void;
  /** Called from time to time while no set is formed. */
  readonly onDelayed: (problem: string) => void;
}

/** Probes sent per election timeout. */
const PROBES_PER_TIMEOUT = 6;
/** Probe intervals without an answer after which an acceptor doesn't count as answering. */
const MISSED_PROBES = 3;
/** Interval of the reports that no set is formed, in milliseconds. */
const DELAY_REPORT_MS = 5_000;

export class ReplicaBootstrap {
  private readonly peer: FormationPeer;
  private readonly known: KnownReplicas;
  private readonly schedule: ProposalSchedule;
  private readonly probeIntervalMs: number;
  private nextReportAt: number;
  private timer: Timer | undefined;
  private decided = false;

  constructor(private readonly options: BootstrapOptions) {
    const { clock, random, self, transport, record, saveRecord } = options;
    const { electionTimeoutMs, maxVoters } = options;
    this.probeIntervalMs = electionTimeoutMs / PROBES_PER_TIMEOUT;
    const answeringMs = MISSED_PROBES * this.probeIntervalMs;
    this.known = new KnownReplicas({ self, maxVoters, answeringMs });
    this.schedule = new ProposalSchedule(random, electionTimeoutMs);
    this.nextReportAt = clock.now() + DELAY_REPORT_MS;
    this.peer = new FormationPeer({
      self,
      record,
      saveRecord,
      transport,
      onChosen: (replicas) => this.onChosen(replicas),
      onOtherBallot: () => this.schedule.onBallot(clock.now()),
      onProgress: () => this.schedule.onProgress(clock.now()),
    });
  }

  start(): void {
    this.tick();
  }

  private tick(): void {
    for (const origin of this.contacts()) this.probe(origin);
    this.peer.sendRequests();
    this.reportDelay();
    this.timer = this.options.clock.schedule(this.probeIntervalMs, () => this.tick());
    this.proposeIfDue();
  }

  stop(): void {
    this.decided = true;
    this.peer.stop();
    this.timer?.cancel();
  }

  receive(message: RaftMessage): void {
    if (this.decided) return;
    switch (message.type) {
      case 'probe-request':
        this.known.add(message.from);
        this.answerProbe(message.from);
        return;
      case 'probe-response':
        this.onProbeResponse(message);
        return;
      case 'join-request':
        this.known.add(message.from);
        this.proposeIfDue();
        return;
      case 'form-prepare':
      case 'form-promise':
      case 'form-accept':
      case 'form-accepted':
      case 'form-refusal':
        this.peer.receive(message);
        return;
      default:
        // The sender is in a formed set, and may be the only one that can say so.
        this.probe(message.from.origin);
    }
  }

  private contacts(): Set<string> {
    const { contacts, self } = this.options;
    const origins = new Set([...contacts, ...this.peer.record.acceptors]);
    origins.delete(self.origin);
    return origins;
  }

  private probe(origin: string): void {
    const { self: from } = this.options;
    this.send({ origin, identity: '' }, { type: 'probe-request', from, term: 0 });
  }

  private answerProbe(to: MessageTarget): void {
    const { self: from } = this.options;
    // `promised` is for earlier versions, which form a set that all replicas have promised; this one promises none.
    const found = { type: 'empty', promised: undefined } as const;
    this.send(to, { type: 'probe-response', from, term: 0, found });
  }

  private onProbeResponse({ from, found }: ProbeResponse): void {
    switch (found.type) {
      case 'empty':
        this.known.addAcceptor(from, this.options.clock.now());
        this.proposeIfDue();
        return;
      case 'joining':
        this.known.add(from);
        this.proposeIfDue();
        return;
      case 'formed':
        // A set formed with an earlier identity of this replica does not include the current one.
        if (includes(found.replicas, this.options.self)) {
          this.decide({ type: 'form', replicas: found.replicas, isProposer: false });
        }
        return;
      case 'log':
        this.decide({ type: 'join' });
    }
  }

  private proposeIfDue(): void {
    const { known, options, peer, schedule } = this;
    const { record } = peer;
    const now = options.clock.now();
    const view = {
      isQuorumAnswering: known.isQuorumAnswering(record, now),
      hasAllAcceptors: known.hasAllAcceptors(record),
      hasAllVoters: known.hasAllVoters(record),
      isFirst: known.answering(record, now)[0] === options.self.origin,
      isProposing: peer.isProposing,
    };
    if (!schedule.isDue(view, now)) return;
    schedule.onBallot(now);
    peer.propose(known.replicaSet(record));
  }

  /** Tells all members of a set that it is formed. */
  private onChosen(replicas: ReplicaSet): void {
    const { self: from } = this.options;
    const found = { type: 'formed', replicas } as const;
    for (const member of allReplicas(replicas)) {
      if (member.identity === from.identity) continue;
      this.send(member, { type: 'probe-response', from, term: 0, found });
    }
    if (includes(replicas, from)) this.decide({ type: 'form', replicas, isProposer: true });
  }

  private reportDelay(): void {
    const now = this.options.clock.now();
    if (now < this.nextReportAt) return;
    this.nextReportAt = now + DELAY_REPORT_MS;
    const { acceptors, quorum } = this.peer.record;
    const answering = this.known.answering(this.peer.record, now);
    const missing = acceptors.filter((origin) => !answering.includes(origin));
    const needed = quorum === 'all' ? 'all are needed' : 'a majority is needed';
    const parts = [
      `${answering.length} of ${acceptors.length} replicas that can form the set answer, ${needed}`,
      missing.length === 0 ? undefined : `no answer from ${missing.join(', ')}`,
      this.peer.problem,
    ];
    this.options.onDelayed(parts.filter((part) => part !== undefined).join('; '));
  }

  private decide(decision: BootstrapDecision): void {
    this.stop();
    this.options.onDecided(decision);
  }

  private send(to: MessageTarget, message: RaftMessage): void {
    this.options.transport.send(to, message);
  }
}

function includes(set: ReplicaSet, replica: Replica): boolean {
  return allReplicas(set).some((other) => other.identity === replica.identity);
}
