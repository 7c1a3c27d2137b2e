/**
 * Simulates ingresses, control replicas and callers of rate-limited groups in virtual time, with uneven load and
 * faults: leader changes, restarts with empty state, network partitions and lowered limits. A run is determined
 * by its seed. Messages are delayed by some milliseconds and may be reordered.
 */
import { sampleExponential, SeededRandom } from '../../../src/common/random.js';
import { VirtualClock } from '../../../src/common/virtual-clock.js';
import type { Group, GroupRate } from '../../../src/policy/group-table.js';
import { IMPORTANCE_COUNT, type Importance } from '../../../src/policy/importance.js';
import type { CeilingRecord } from '../../../src/quota/ceiling-record.js';
import type { CeilingLog, LeaderTerms } from '../../../src/quota/group-ceilings.js';
import { grantableInWindow, type QuotaRule } from '../../../src/quota/quota-rule.js';
import { QuotaChecker, type QuotaFindings } from './quota-checker.js';
import {
  QUOTA_STRATEGIES,
  type ControlSide,
  type IngressSide,
  type QuotaStrategy,
  type QuotaStrategyName,
} from './quota-strategies.js';

/** Options of a run. */
export interface QuotaRun {
  readonly seed: number;
  readonly strategy: QuotaStrategyName;
  readonly ingresses: number;
  readonly groups: number;
  readonly durationMs: number;
  readonly rule: QuotaRule;
  /** Whether faults are injected: leader changes, restarts, partitions and lowered limits. */
  readonly faults: boolean;
  /** Multiples of the normal load of a group, from which one is drawn in each phase. */
  readonly surges: readonly number[];
  /** Time after the start of traffic at which all processes lose power. Default: never. */
  readonly powerLossAtMs?: number;
  /** Time after which the power is lost again. Default: never. */
  readonly nextPowerLossAfterMs?: number;
  /** Whether the record of ceilings is lost with the power. Default: false. */
  readonly losesRecord?: boolean;
}

/** Results of a run. */
export interface QuotaResult {
  readonly groups: readonly QuotaFindings[];
  /** Mean number of groups per report. */
  readonly usesPerReport: number;
  /** Number of records of ceilings that were committed. */
  readonly ceilingRecords: number;
}

const REPLICAS = 3;
const HEARTBEAT_MS = 1_000;
const MAX_DELAY_MS = 12;
const MAX_WAIT_MS = 50;
/** Fraction of its rate that a group sends under normal load. */
const BASE_LOAD_FRACTION = 0.625;
const MAX_REQUESTS_PER_SECOND = 200;
/** Maximum delay between the admission of a request and its run. */
const MAX_RUN_DELAY_MS = 300;
/** Probability that an admitted request does not run and releases its permit. */
const NOT_RUN_PROBABILITY = 0.05;
const PHASE_MS = 4_000;
const MEAN_FAULT_INTERVAL_MS = 900;
const MAX_LEADERLESS_MS = 3_000;
const MAX_DEPOSED_MS = 600;
const MAX_PARTITION_MS = 6_000;
/** Maximum time until a proposed record is synced on a majority. */
const MAX_COMMIT_MS = 30;
const RESTART_MS = 1_200;
const ELECTION_MS = 1_500;
/** Time after which an acknowledged configuration is in force at all processes. */
const APPLY_MS = 2_000;
const LOWERED_RATE_FACTOR = 0.4;

interface SimIngress {
  readonly id: string;
  side: IngressSide;
  isPartitioned: boolean;
  incarnation: number;
}

interface SimReplica {
  side: ControlSide;
  /** Undefined while the replica does not lead. Kept for a moment by a leader that is deposed. */
  terms: LeaderTerms | undefined;
}

interface SimGroup {
  readonly group: Group;
  readonly checker: QuotaChecker;
  /** Ingress index of each caller; several callers may share an ingress. */
  ingressIndexes: number[];
  surge: number;
}

export class QuotaWorld {
  private readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly strategy: QuotaStrategy;
  private readonly ingresses: SimIngress[];
  private readonly replicas: SimReplica[];
  private readonly groups: SimGroup[];
  private readonly rates = new Map<string, GroupRate>();
  private leader: number | undefined;
  private terms: LeaderTerms = { term: 0, previousTerm: 0 };
  /** The record of ceilings that a majority has synced. */
  private record: CeilingRecord | undefined;
  private ceilingRecords = 0;
  /** A proposed record that the log of the next leader contains, whether or not it was committed before. */
  private lastProposed: CeilingRecord | undefined;
  /** A former leader that still grants because it has not detected its loss of leadership. */
  private deposed: number | undefined;
  private hasLostPowerTwice = false;
  private reports = 0;
  private reportedUses = 0;

  constructor(private readonly run: QuotaRun) {
    this.random = new SeededRandom(run.seed);
    this.strategy = QUOTA_STRATEGIES[run.strategy];
    this.groups = Array.from({ length: run.groups }, (_, index) => this.createGroup(index));
    this.replicas = Array.from({ length: REPLICAS }, (_, index) => ({
      side: this.createControl(index),
      terms: undefined,
    }));
    this.elect(0);
    this.ingresses = Array.from({ length: run.ingresses }, (_, index) => this.createIngress(index));
  }

  execute(): QuotaResult {
    // Processes start before traffic, so that reports are exchanged first.
    for (const ingress of this.ingresses) this.runHeartbeats(ingress, ingress.incarnation);
    const trafficAt = 12_000;
    this.clock.schedule(trafficAt, () => {
      for (const group of this.groups) this.scheduleNextRequest(group);
      this.startPhase();
      if (this.run.faults) this.scheduleNextFault();
      const { powerLossAtMs } = this.run;
      if (powerLossAtMs !== undefined) this.clock.schedule(powerLossAtMs, () => this.losePower());
    });
    this.clock.runUntil(trafficAt + this.run.durationMs);
    return {
      groups: this.groups.map(({ checker }) => checker.findings()),
      usesPerReport: this.reportedUses / Math.max(1, this.reports),
      ceilingRecords: this.ceilingRecords,
    };
  }

  private createGroup(index: number): SimGroup {
    const perSecond = Math.max(1, MAX_REQUESTS_PER_SECOND * this.random.next() ** 3);
    const rate: GroupRate = { perSecond, burst: perSecond };
    const name = `group-${index}`;
    this.rates.set(name, rate);
    return {
      group: { name, share: 1, rank: 0, rate },
      checker: new QuotaChecker(rate, this.run.rule, APPLY_MS + this.run.rule.windowMs),
      ingressIndexes: this.drawIngresses(perSecond),
      surge: 1,
    };
  }

  /** Draws one ingress per caller, with about one caller per three requests per second. */
  private drawIngresses(perSecond: number): number[] {
    const callers = Math.max(2, Math.round(perSecond / 3));
    return Array.from({ length: callers }, () => this.random.nextInt(this.run.ingresses));
  }

  private createControl(index: number): ControlSide {
    const { windowMs } = this.run.rule;
    const limitOf = (group: string): number | undefined => this.limitOf(group);
    const ceilingLog: CeilingLog = {
      record: () => this.record,
      propose: (record, onOutcome) => this.proposeRecord(index, record, onOutcome),
    };
    return this.strategy.control({ windowMs, limitOf, ceilingLog }, this.clock.now());
  }

  /** Commits a record unless its leader is deposed meanwhile; the entry may still survive its leader then. */
  private proposeRecord(
    index: number,
    record: CeilingRecord,
    onOutcome: (isApplied: boolean) => void,
  ): void {
    const { clock, random } = this;
    clock.schedule(1 + random.next() * MAX_COMMIT_MS, () => {
      const isLeading = this.leader === index && this.terms.term === record.term;
      if (isLeading) this.commit(record);
      onOutcome(isLeading);
    });
    this.lastProposed = random.next() < 0.5 ? record : undefined;
  }

  private commit(record: CeilingRecord): void {
    this.record = record;
    this.ceilingRecords += 1;
  }

  /** Makes a replica the leader of a new term. */
  private elect(index: number): void {
    const { lastProposed } = this;
    if (lastProposed?.term === this.terms.term) this.commit(lastProposed);
    this.lastProposed = undefined;
    this.terms = { term: this.terms.term + 1, previousTerm: this.terms.term };
    this.leader = index;
    this.replicas.forEach((replica, other) => {
      if (other !== this.deposed) replica.terms = other === index ? this.terms : undefined;
    });
  }

  private createIngress(index: number): SimIngress {
    const ingress: SimIngress = {
      id: `ingress-${index}`,
      side: undefined as unknown as IngressSide,
      isPartitioned: false,
      incarnation: 0,
    };
    ingress.side = this.createSide(ingress);
    return ingress;
  }

  private createSide(ingress: SimIngress): IngressSide {
    return this.strategy.ingress({
      clock: this.clock,
      startedAt: ingress.incarnation,
      windowMs: this.run.rule.windowMs,
      ingresses: this.run.ingresses,
      limitOf: (group) => this.limitOf(group),
      onGrantNeeded: () => this.sendHeartbeat(ingress, this.leader),
    });
  }

  private limitOf(group: string): number | undefined {
    const rate = this.rates.get(group);
    return rate && grantableInWindow(rate, this.run.rule);
  }

  private runHeartbeats(ingress: SimIngress, incarnation: number): void {
    if (ingress.incarnation !== incarnation) return;
    this.sendHeartbeat(ingress);
    const delayMs = HEARTBEAT_MS * (this.clock.now() === 0 ? this.random.next() : 1);
    this.clock.schedule(delayMs, () => this.runHeartbeats(ingress, incarnation));
  }

  /** @param only index of the only replica to send to; all replicas if omitted */
  private sendHeartbeat(ingress: SimIngress, only?: number): void {
    if (ingress.isPartitioned) return;
    const { incarnation } = ingress;
    const sentAt = this.clock.now();
    const report = ingress.side.report();
    this.reports += 1;
    this.reportedUses += report.uses.length;
    this.replicas.forEach((replica, index) => {
      if (only !== undefined && index !== only) return;
      this.deliverLater(() => {
        const grants = replica.side.onReport(ingress.id, report, replica.terms, this.clock.now());
        const mayGrant = index === this.leader || index === this.deposed;
        if (grants === undefined || !mayGrant) return;
        this.deliverLater(() => {
          if (!ingress.isPartitioned && ingress.incarnation === incarnation) {
            ingress.side.onGrants(grants, sentAt);
          }
        });
      });
    });
  }

  private deliverLater(deliver: () => void): void {
    this.clock.schedule(1 + this.random.next() * MAX_DELAY_MS, deliver);
  }

  private scheduleNextRequest(sim: SimGroup): void {
    const { perSecond } = this.rates.get(sim.group.name)!;
    const demand = (sim.group.rate ?? { perSecond }).perSecond * BASE_LOAD_FRACTION * sim.surge;
    this.clock.schedule(sampleExponential(this.random, 1_000 / demand), () => {
      this.scheduleNextRequest(sim);
      this.send(sim);
    });
  }

  private send({ group, checker, ingressIndexes }: SimGroup): void {
    const ingress = this.ingresses[ingressIndexes[this.random.nextInt(ingressIndexes.length)]!]!;
    checker.onOffered();
    // Not drawn, so that the other draws of a seed don't depend on it.
    const importance = (checker.offeredCount % IMPORTANCE_COUNT) as Importance;
    ingress.side.acquire({ group, importance, maxWaitMs: MAX_WAIT_MS }, (permit) => {
      const now = this.clock.now();
      if (permit === undefined) checker.onRefused(now);
      else if (this.random.next() < NOT_RUN_PROBABILITY) this.deliverLater(() => permit.release());
      else {
        const delayMs = MAX_RUN_DELAY_MS * this.random.next() ** 3;
        this.clock.schedule(delayMs, () => checker.onRun(this.clock.now()));
      }
    });
  }

  /** Draws a new load for each group and moves the callers of some groups to other ingresses. */
  private startPhase(): void {
    for (const sim of this.groups) {
      const { surges } = this.run;
      sim.surge = surges[this.random.nextInt(surges.length)]!;
      const moved = this.drawIngresses(sim.ingressIndexes.length);
      if (this.random.next() < 0.2)
        sim.ingressIndexes = moved.length > 0 ? moved : sim.ingressIndexes;
    }
    this.clock.schedule(PHASE_MS, () => this.startPhase());
  }

  private scheduleNextFault(): void {
    const faults = [
      (): void => this.loseLeader(),
      (): void => this.restartIngress(),
      (): void => this.partitionIngress(),
      (): void => this.restartReplica(),
      (): void => this.lowerLimit(),
    ];
    this.clock.schedule(sampleExponential(this.random, MEAN_FAULT_INTERVAL_MS), () => {
      faults[this.random.nextInt(faults.length)]!();
      this.scheduleNextFault();
    });
  }

  /** Removes the leader and elects another one later; the old one may still grant for a moment. */
  private loseLeader(): void {
    const old = this.leader;
    if (old === undefined) return;
    this.leader = undefined;
    this.clock.schedule(600 + this.random.next() * MAX_LEADERLESS_MS, () => {
      const { terms } = this.replicas[old]!;
      this.replicas[old]!.terms = undefined;
      this.elect((old + 1 + this.random.nextInt(REPLICAS - 1)) % REPLICAS);
      if (this.random.next() < 0.5) return;
      this.deposed = old;
      this.replicas[old]!.terms = terms;
      this.clock.schedule(this.random.next() * MAX_DEPOSED_MS, () => {
        this.deposed = undefined;
        if (this.replicas[old]!.terms === terms) this.replicas[old]!.terms = undefined;
      });
    });
  }

  private restartIngress(): void {
    this.restart(this.ingresses[this.random.nextInt(this.ingresses.length)]!);
  }

  private restart(ingress: SimIngress): void {
    ingress.incarnation += 1;
    ingress.side = this.createSide(ingress);
    this.runHeartbeats(ingress, ingress.incarnation);
  }

  private partitionIngress(): void {
    const ingress = this.ingresses[this.random.nextInt(this.ingresses.length)]!;
    ingress.isPartitioned = true;
    this.clock.schedule(
      this.random.next() * MAX_PARTITION_MS,
      () => (ingress.isPartitioned = false),
    );
  }

  /** Restarts all processes with empty state, then elects a leader. */
  private losePower(): void {
    this.leader = undefined;
    this.clock.schedule(RESTART_MS, () => {
      this.leader = undefined;
      this.deposed = undefined;
      if (this.run.losesRecord === true) {
        this.record = undefined;
        this.lastProposed = undefined;
      }
      this.replicas.forEach((replica, index) => {
        replica.side = this.createControl(index);
        replica.terms = undefined;
      });
      for (const ingress of this.ingresses) this.restart(ingress);
    });
    this.clock.schedule(RESTART_MS + ELECTION_MS, () => this.elect(0));
    const { nextPowerLossAfterMs } = this.run;
    if (nextPowerLossAfterMs === undefined || this.hasLostPowerTwice) return;
    this.hasLostPowerTwice = true;
    this.clock.schedule(nextPowerLossAfterMs, () => this.losePower());
  }

  /** Restarts a random replica with empty state unless it grants. */
  private restartReplica(): void {
    const index = this.random.nextInt(REPLICAS);
    if (index === this.leader || index === this.deposed) return;
    this.replicas[index]!.side = this.createControl(index);
  }

  private lowerLimit(): void {
    const { group, checker } = this.groups[this.random.nextInt(this.groups.length)]!;
    const { perSecond, burst } = this.rates.get(group.name)!;
    const rate = { perSecond: perSecond * LOWERED_RATE_FACTOR, burst: burst * LOWERED_RATE_FACTOR };
    this.rates.set(group.name, rate);
    checker.onRate(rate, this.clock.now());
  }
}
