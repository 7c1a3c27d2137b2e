/**
 * Ingresses, control replicas and callers of groups with a rate, in virtual time: uneven demand that changes, and
 * leaders that are lost or deposed, replicas and ingresses that restart empty, ingresses that are cut off, limits that fall.
 * One seed gives one run. Messages take some milliseconds and overtake one another.
 */
import { exponential, SeededRandom } from '../../../src/common/random.js';
import { VirtualClock } from '../../../src/common/virtual-clock.js';
import type { Group, GroupRate } from '../../../src/policy/group-table.js';
import { handedOutInWindow, type QuotaRule } from '../../../src/quota/quota-rule.js';
import { QuotaChecker, type QuotaFindings } from './quota-checker.js';
import {
  QUOTA_WAYS,
  type ControlSide,
  type IngressSide,
  type QuotaWay,
  type QuotaWayName,
} from './quota-ways.js';

/** One run. */
export interface QuotaRun {
  readonly seed: number;
  readonly way: QuotaWayName;
  readonly ingresses: number;
  readonly groups: number;
  readonly durationMs: number;
  readonly rule: QuotaRule;
  /** Whether processes are lost, cut off and restarted. */
  readonly faults: boolean;
  /** Multiples of its usual demand that a group sends, drawn anew every few seconds. */
  readonly surges: readonly number[];
  /** Milliseconds after the beginning of traffic at which all processes lose power; never where absent. */
  readonly powerLossAtMs?: number;
}

/** What a run gave. */
export interface QuotaResult {
  readonly groups: readonly QuotaFindings[];
  /** Groups that a report names, in the mean. */
  readonly usesPerReport: number;
}

const REPLICAS = 3;
const HEARTBEAT_MS = 1_000;
const MAX_DELAY_MS = 12;
const PATIENCE_MS = 50;
/** Part of its rate that a group usually sends. */
const USUAL_PART = 0.625;
const LARGEST_RATE = 200;
/** A request runs this long after it was let in at most, in milliseconds, and how often it does not run. */
const MAX_RUN_DELAY_MS = 300;
const NOT_RUN_CHANCE = 0.05;
const PHASE_MS = 4_000;
const FAULT_EVERY_MS = 900;
const MAX_LEADERLESS_MS = 3_000;
const MAX_DEPOSED_MS = 600;
const MAX_CUT_MS = 6_000;
const START_MS = 1_200;
const ELECTION_MS = 1_500;
/** Time after an acknowledgement in which a configuration is in force everywhere. */
const APPLY_MS = 2_000;
const LOWERED_PART = 0.4;

interface SimIngress {
  readonly id: string;
  side: IngressSide;
  isCut: boolean;
  incarnation: number;
}

interface SimReplica {
  side: ControlSide;
}

interface SimGroup {
  readonly group: Group;
  readonly checker: QuotaChecker;
  /** Ingresses that its callers use, some several times. */
  places: number[];
  surge: number;
}

export class QuotaWorld {
  private readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly way: QuotaWay;
  private readonly ingresses: SimIngress[];
  private readonly replicas: SimReplica[];
  private readonly groups: SimGroup[];
  private readonly rates = new Map<string, GroupRate>();
  private leader: number | undefined = 0;
  /** A replica that has been deposed and does not know it. */
  private deposed: number | undefined;
  private reports = 0;
  private uses = 0;

  constructor(private readonly run: QuotaRun) {
    this.random = new SeededRandom(run.seed);
    this.way = QUOTA_WAYS[run.way];
    this.groups = Array.from({ length: run.groups }, (_, index) => this.createGroup(index));
    this.replicas = Array.from({ length: REPLICAS }, () => ({ side: this.createControl() }));
    this.ingresses = Array.from({ length: run.ingresses }, (_, index) => this.createIngress(index));
  }

  execute(): QuotaResult {
    // Processes start some time before there is traffic.
    for (const ingress of this.ingresses) this.beat(ingress, ingress.incarnation);
    const trafficAt = 12_000;
    this.clock.schedule(trafficAt, () => {
      for (const group of this.groups) this.sendNext(group);
      this.nextPhase();
      if (this.run.faults) this.nextFault();
      const { powerLossAtMs } = this.run;
      if (powerLossAtMs !== undefined) this.clock.schedule(powerLossAtMs, () => this.losePower());
    });
    this.clock.runUntil(trafficAt + this.run.durationMs);
    return {
      groups: this.groups.map(({ checker }) => checker.findings()),
      usesPerReport: this.uses / Math.max(1, this.reports),
    };
  }

  private createGroup(index: number): SimGroup {
    const perSecond = Math.max(1, LARGEST_RATE * this.random.next() ** 3);
    const rate: GroupRate = { perSecond, burst: perSecond };
    const name = `group-${index}`;
    this.rates.set(name, rate);
    return {
      group: { name, share: 1, rank: 0, rate },
      checker: new QuotaChecker(rate, this.run.rule, APPLY_MS + this.run.rule.windowMs),
      places: this.drawPlaces(perSecond),
      surge: 1,
    };
  }

  /** About a caller for every three requests a second, each at one ingress. */
  private drawPlaces(perSecond: number): number[] {
    const callers = Math.max(2, Math.round(perSecond / 3));
    return Array.from({ length: callers }, () => this.random.below(this.run.ingresses));
  }

  private createControl(): ControlSide {
    const { windowMs } = this.run.rule;
    const limitOf = (group: string): number | undefined => this.limitOf(group);
    return this.way.control({ windowMs, limitOf }, this.clock.now());
  }

  private createIngress(index: number): SimIngress {
    const ingress: SimIngress = {
      id: `ingress-${index}`,
      side: undefined as unknown as IngressSide,
      isCut: false,
      incarnation: 0,
    };
    ingress.side = this.createSide(ingress);
    return ingress;
  }

  private createSide(ingress: SimIngress): IngressSide {
    return this.way.ingress({
      clock: this.clock,
      startedAt: ingress.incarnation,
      windowMs: this.run.rule.windowMs,
      ingresses: this.run.ingresses,
      limitOf: (group) => this.limitOf(group),
      onShort: () => this.sendHeartbeat(ingress, this.leader),
    });
  }

  private limitOf(group: string): number | undefined {
    const rate = this.rates.get(group);
    return rate && handedOutInWindow(rate, this.run.rule);
  }

  private beat(ingress: SimIngress, incarnation: number): void {
    if (ingress.incarnation !== incarnation) return;
    this.sendHeartbeat(ingress);
    const delayMs = HEARTBEAT_MS * (this.clock.now() === 0 ? this.random.next() : 1);
    this.clock.schedule(delayMs, () => this.beat(ingress, incarnation));
  }

  /** @param only the one replica that gets it; all where absent */
  private sendHeartbeat(ingress: SimIngress, only?: number): void {
    if (ingress.isCut) return;
    const { incarnation } = ingress;
    const sentAt = this.clock.now();
    const report = ingress.side.report();
    this.reports += 1;
    this.uses += report.uses.length;
    this.replicas.forEach((replica, index) => {
      if (only !== undefined && index !== only) return;
      this.later(() => {
        const grants = replica.side.onReport(ingress.id, report, this.clock.now());
        const mayGrant = index === this.leader || index === this.deposed;
        if (grants === undefined || !mayGrant) return;
        this.later(() => {
          if (!ingress.isCut && ingress.incarnation === incarnation) {
            ingress.side.onGrants(grants, sentAt);
          }
        });
      });
    });
  }

  private later(work: () => void): void {
    this.clock.schedule(1 + this.random.next() * MAX_DELAY_MS, work);
  }

  private sendNext(sim: SimGroup): void {
    const { perSecond } = this.rates.get(sim.group.name)!;
    const demand = (sim.group.rate ?? { perSecond }).perSecond * USUAL_PART * sim.surge;
    this.clock.schedule(exponential(this.random, 1_000 / demand), () => {
      this.sendNext(sim);
      this.send(sim);
    });
  }

  private send({ group, checker, places }: SimGroup): void {
    const ingress = this.ingresses[places[this.random.below(places.length)]!]!;
    checker.onOffered();
    ingress.side.acquire(group, PATIENCE_MS, (place) => {
      const now = this.clock.now();
      if (place === undefined) checker.onRefused(now);
      else if (this.random.next() < NOT_RUN_CHANCE) this.later(() => place.release());
      else {
        const delayMs = MAX_RUN_DELAY_MS * this.random.next() ** 3;
        this.clock.schedule(delayMs, () => checker.onRun(this.clock.now()));
      }
    });
  }

  /** Demand changes: some groups surge, some callers move to other ingresses. */
  private nextPhase(): void {
    for (const sim of this.groups) {
      const { surges } = this.run;
      sim.surge = surges[this.random.below(surges.length)]!;
      const moved = this.drawPlaces(sim.places.length);
      if (this.random.next() < 0.2) sim.places = moved.length > 0 ? moved : sim.places;
    }
    this.clock.schedule(PHASE_MS, () => this.nextPhase());
  }

  private nextFault(): void {
    const faults = [
      (): void => this.loseLeader(),
      (): void => this.restartIngress(),
      (): void => this.cutIngress(),
      (): void => this.restartReplica(),
      (): void => this.lowerLimit(),
    ];
    this.clock.schedule(exponential(this.random, FAULT_EVERY_MS), () => {
      faults[this.random.below(faults.length)]!();
      this.nextFault();
    });
  }

  /** The leader is lost, or deposed without knowing it for a moment; another one follows. */
  private loseLeader(): void {
    const old = this.leader;
    if (old === undefined) return;
    this.leader = undefined;
    this.clock.schedule(600 + this.random.next() * MAX_LEADERLESS_MS, () => {
      this.leader = (old + 1 + this.random.below(REPLICAS - 1)) % REPLICAS;
      if (this.random.next() < 0.5) return;
      this.deposed = old;
      this.clock.schedule(this.random.next() * MAX_DEPOSED_MS, () => (this.deposed = undefined));
    });
  }

  private restartIngress(): void {
    this.restart(this.ingresses[this.random.below(this.ingresses.length)]!);
  }

  private restart(ingress: SimIngress): void {
    ingress.incarnation += 1;
    ingress.side = this.createSide(ingress);
    this.beat(ingress, ingress.incarnation);
  }

  private cutIngress(): void {
    const ingress = this.ingresses[this.random.below(this.ingresses.length)]!;
    ingress.isCut = true;
    this.clock.schedule(this.random.next() * MAX_CUT_MS, () => (ingress.isCut = false));
  }

  /** All processes are back after a moment, with nothing; a leader is found. */
  private losePower(): void {
    this.leader = undefined;
    this.clock.schedule(START_MS, () => {
      for (const replica of this.replicas) replica.side = this.createControl();
      for (const ingress of this.ingresses) this.restart(ingress);
    });
    this.clock.schedule(START_MS + ELECTION_MS, () => (this.leader = 0));
  }

  /** A replica that does not lead comes back with nothing. */
  private restartReplica(): void {
    const index = this.random.below(REPLICAS);
    if (index === this.leader || index === this.deposed) return;
    this.replicas[index]!.side = this.createControl();
  }

  private lowerLimit(): void {
    const { group, checker } = this.groups[this.random.below(this.groups.length)]!;
    const { perSecond, burst } = this.rates.get(group.name)!;
    const rate = { perSecond: perSecond * LOWERED_PART, burst: burst * LOWERED_PART };
    this.rates.set(group.name, rate);
    checker.onRate(rate, this.clock.now());
  }
}
