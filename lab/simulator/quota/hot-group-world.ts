/**
 * Replays one group that asks for several times its usual over many ingresses, in virtual time: requests of several kinds, the
 * replicas of control with one leader, and messages that take some milliseconds. A run is determined by its seed.
 */
import type { CeilingRecord } from '../../../src/quota/ceiling-record.js';
import type { CeilingLog, LeaderTerms } from '../../../src/quota/group-ceilings.js';
import { sampleExponential, SeededRandom } from '../../../src/common/random.js';
import { VirtualClock } from '../../../src/common/virtual-clock.js';
import type { Group } from '../../../src/policy/group-table.js';
import type { Importance } from '../../../src/policy/importance.js';
import { grantableInWindow, type QuotaRule } from '../../../src/quota/quota-rule.js';
import type { HeatEvent } from '../../../src/quota/heat-recorder.js';
import type { PermitRequest } from '../../../src/quota/ingress-quota.js';
import { QuotaChecker, type QuotaFindings } from './quota-checker.js';
import { QUOTA_STRATEGIES, type ControlSide, type IngressSide } from './quota-strategies.js';

/** One kind of request of the group. */
export interface HotKind {
  readonly importance: Importance;
  /** Fraction of the requests of the group. */
  readonly share: number;
  /** How long a request may wait for a permit, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Options of a run. */
export interface HotGroupRun {
  readonly seed: number;
  readonly ingresses: number;
  readonly rule: QuotaRule;
  /** Usual requests per second of the group over all ingresses. */
  readonly usualPerSecond: number;
  /** Limit of the group as a multiple of the usual. */
  readonly limitFactor: number;
  /** Multiple of the usual that the group asks for while it is hot. */
  readonly heatFactor: number;
  readonly heatMs: number;
  readonly kinds: readonly HotKind[];
  /** Time after the start of the heat at which the leader is lost, and until another one grants. Default: never. */
  readonly leaderLoss?: { readonly afterMs: number; readonly forMs: number };
}

/** Requests of one kind in one second. */
export interface KindCounts {
  offered: number;
  served: number;
}

/** Results of a run. */
export interface HotGroupResult extends QuotaFindings {
  /** Requests by second from the start of the heat, then by kind. */
  readonly seconds: readonly KindCounts[][];
  readonly events: readonly HeatEvent[];
  /** Reports that all ingresses sent while the group was hot. */
  readonly reports: number;
}

const COMMIT_MS = 8;
const REPLICAS = 3;
const HEARTBEAT_MS = 1_000;
const MAX_DELAY_MS = 12;
/** Usual load before the heat, longer than leases and a window, so that grants are settled. */
const WARM_UP_MS = 14_000;
const COOL_DOWN_MS = 8_000;
const GROUP_NAME = 'hot';
const MS_PER_SECOND = 1_000;

export class HotGroupWorld {
  private readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly group: Group;
  private readonly checker: QuotaChecker;
  private readonly replicas: ControlSide[];
  private readonly ingresses: IngressSide[];
  private readonly seconds: KindCounts[][] = [];
  private readonly events: HeatEvent[] = [];
  private leader: number | undefined = 0;
  private reports = 0;

  constructor(private readonly run: HotGroupRun) {
    this.random = new SeededRandom(run.seed);
    const perWindow = (run.usualPerSecond * run.limitFactor * run.rule.windowMs) / MS_PER_SECOND;
    const perSecond = run.usualPerSecond * run.limitFactor * 0.9;
    const burst = perWindow - (perSecond * run.rule.windowMs) / MS_PER_SECOND;
    const rate = { perSecond, burst };
    this.group = { name: GROUP_NAME, share: 1, rank: 0, rate };
    this.checker = new QuotaChecker(rate, run.rule, 0);
    const limit = grantableInWindow(rate, run.rule);
    const { windowMs } = run.rule;
    const ceilingLog = this.createCeilingLog();
    this.replicas = Array.from({ length: REPLICAS }, () =>
      QUOTA_STRATEGIES.leases.control({ windowMs, limitOf: () => limit, ceilingLog }, -Infinity),
    );
    this.ingresses = Array.from({ length: run.ingresses }, (_, index) => this.createIngress(index));
  }

  execute(): HotGroupResult {
    const { heatMs, leaderLoss } = this.run;
    this.ingresses.forEach((_, index) => {
      this.clock.schedule(this.random.next() * HEARTBEAT_MS, () => this.runHeartbeats(index));
    });
    this.scheduleNextRequest();
    if (leaderLoss !== undefined) {
      const lostAt = WARM_UP_MS + leaderLoss.afterMs;
      this.clock.schedule(lostAt, () => (this.leader = undefined));
      this.clock.schedule(lostAt + leaderLoss.forMs, () => (this.leader = 1));
    }
    this.clock.runUntil(WARM_UP_MS + heatMs + COOL_DOWN_MS);
    const { seconds, events, reports } = this;
    return { ...this.checker.findings(), seconds, events, reports };
  }

  /** A record that a majority has stored after {@link COMMIT_MS}. */
  private createCeilingLog(): CeilingLog {
    let stored: CeilingRecord | undefined;
    return {
      record: () => stored,
      propose: (record, onOutcome) => {
        this.clock.schedule(COMMIT_MS, () => {
          stored = record;
          onOutcome(true);
        });
      },
    };
  }

  /** Terms of a replica: each leads in a term of its own. */
  private termsOf(replicaIndex: number): LeaderTerms | undefined {
    if (replicaIndex !== this.leader) return undefined;
    return { term: replicaIndex + 1, previousTerm: replicaIndex };
  }

  private createIngress(index: number): IngressSide {
    return QUOTA_STRATEGIES.leases.ingress({
      clock: this.clock,
      startedAt: 0,
      windowMs: this.run.rule.windowMs,
      ingresses: this.run.ingresses,
      limitOf: () => undefined,
      onGrantNeeded: () => this.sendHeartbeat(index, this.leader),
      onHeat: (event) => this.events.push(event),
    });
  }

  private runHeartbeats(index: number): void {
    this.sendHeartbeat(index);
    this.clock.schedule(HEARTBEAT_MS, () => this.runHeartbeats(index));
  }

  /** @param only index of the only replica to send to; all replicas if omitted */
  private sendHeartbeat(index: number, only?: number): void {
    const sentAt = this.clock.now();
    const report = this.ingresses[index]!.report();
    if (this.isHot(sentAt)) this.reports += 1;
    this.replicas.forEach((replica, replicaIndex) => {
      if (only !== undefined && replicaIndex !== only) return;
      this.deliverLater(() => {
        const grants = replica.onReport(
          `ingress-${index}`,
          report,
          this.termsOf(replicaIndex),
          this.clock.now(),
        );
        if (grants === undefined || replicaIndex !== this.leader) return;
        this.deliverLater(() => this.ingresses[index]!.onGrants(grants, sentAt));
      });
    });
  }

  private deliverLater(deliver: () => void): void {
    this.clock.schedule(1 + this.random.next() * MAX_DELAY_MS, deliver);
  }

  private isHot(now: number): boolean {
    return now >= WARM_UP_MS && now < WARM_UP_MS + this.run.heatMs;
  }

  private scheduleNextRequest(): void {
    const { usualPerSecond, heatFactor } = this.run;
    const factor = this.isHot(this.clock.now()) ? heatFactor : 1;
    const meanMs = MS_PER_SECOND / (usualPerSecond * factor);
    this.clock.schedule(sampleExponential(this.random, meanMs), () => {
      this.scheduleNextRequest();
      this.send();
    });
  }

  private send(): void {
    const kind = this.drawKind();
    const counts = this.countsAt(this.clock.now(), kind);
    const { importance, maxWaitMs } = this.run.kinds[kind]!;
    const request: PermitRequest = { group: this.group, importance, maxWaitMs };
    this.checker.onOffered();
    counts.offered += 1;
    this.ingresses[this.random.nextInt(this.ingresses.length)]!.acquire(request, (permit) => {
      const now = this.clock.now();
      if (permit === undefined) {
        this.checker.onRefused(now);
        return;
      }
      counts.served += 1;
      this.checker.onRun(now);
    });
  }

  private drawKind(): number {
    let left = this.random.next();
    const index = this.run.kinds.findIndex(({ share }) => (left -= share) < 0);
    return index < 0 ? this.run.kinds.length - 1 : index;
  }

  /** The counts of the second in which a request of the kind arrives; those before the heat are not kept. */
  private countsAt(now: number, kind: number): KindCounts {
    if (now < WARM_UP_MS) return { offered: 0, served: 0 };
    const second = Math.floor((now - WARM_UP_MS) / MS_PER_SECOND);
    this.seconds[second] ??= this.run.kinds.map(() => ({ offered: 0, served: 0 }));
    return this.seconds[second][kind]!;
  }
}
