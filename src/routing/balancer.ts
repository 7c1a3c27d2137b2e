/**
 * Client-side load balancer for one service. Selects the caller's subset of the endpoints, chooses one of them for each
 * attempt (target-choice.ts), and updates its view of the endpoint when the attempt ends.
 */
import type { CallPriority } from '../admission/call-priority.js';
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import type { Outcome } from '../call/outcome.js';
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import { EndpointView } from './endpoint-view.js';
import { selectByDuration } from './expected-duration.js';
import { LatencyBaseline } from './latency-baseline.js';
import { selectReliable } from './reliable-targets.js';
import { chooseSubset, SUBSET_SIZE } from './subset.js';
import { chooseTarget, isPreferable, type CostContext } from './target-choice.js';

/** Smoothing factor of the mean of the reported limits, an exponential moving average over about five reports. */
const LIMIT_WEIGHT = 0.2;

/**
 * How long an endpoint that announced its shutdown is skipped, in milliseconds, even if endpoint lists still contain it.
 * Exceeds the delay of the lists. Applies to one incarnation: a restarted endpoint is used at once.
 */
const LEAVING_TTL_MS = 60_000;

/** Latency ratio recorded when a gate has no available target, so that calls go to other endpoints for a while. */
const UNAVAILABLE_RATIO = 12;

export interface BalancerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly callerId: string;
  readonly callerZone: string;
  /** Duration of the slow start of a new endpoint, in milliseconds; 0 disables it. */
  readonly slowStartMs: () => number;
}

/** The endpoint chosen for an attempt. */
export interface EndpointPick {
  readonly endpoint: EndpointRecord;
  /** Whether the gate accepts repeated calls according to its last report; true without a report. */
  readonly acceptsRepeats: boolean;
  /** Whether another endpoint with room can take a call that must fit its time ({@link PickRequest.mustFitMs}). */
  readonly hasAlternative: boolean;
  /**
   * Must be called once, when the attempt is over.
   * @param outcome what the node reported; the latency of a refusal says nothing about the target
   */
  end(result: EndpointResult, outcome: ReportedOutcome | undefined): void;
}

/** The fields of an outcome that concern the endpoint. */
type ReportedOutcome = Pick<Outcome, 'refusal' | 'load' | 'crashNote' | 'returnInMs'>;

/** The call for which an endpoint is chosen. */
export interface PickRequest {
  /** Groups calls that take about the same time at every endpoint. */
  readonly trafficClass: string;
  readonly priority: CallPriority;
  /**
   * Time that the call has left, in milliseconds, if a run that exceeds it can't be mended by another attempt. Absent if the
   * call may go to any target, however slow.
   */
  readonly mustFitMs?: number | undefined;
  /** Whether the call may run more than once. Default true. */
  readonly repeatable?: boolean;
}

/** How the attempt at a chosen endpoint ended. */
interface PickEnd extends PickRequest {
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  readonly result: EndpointResult;
  readonly outcome: ReportedOutcome | undefined;
}

export class Balancer {
  private views = new Map<string, EndpointView>();
  private ready: readonly EndpointRecord[] = [];
  /** Larger than usual after all endpoints of the usual subset were at their rate limits. */
  private subsetSize = SUBSET_SIZE;
  private readonly baseline = new LatencyBaseline();
  private readonly leavingUntil = new Map<string, number>();
  private hasSeenEndpoints = false;
  /** Exponential moving average of the limits that nodes reported, in calls. */
  private meanLimit = 1;

  constructor(private readonly options: BalancerOptions) {}

  /** Replaces the list of the service's endpoints. */
  update(records: readonly EndpointRecord[]): void {
    this.ready = records.filter((record) => record.state === 'ready');
    this.subsetSize = SUBSET_SIZE;
    this.chooseViews();
  }

  /** Average latency of a traffic class over all endpoints, in milliseconds; undefined before enough answers. */
  baselineLatencyMs(trafficClass: string): number | undefined {
    return this.baseline.baselineLatencyMs(trafficClass);
  }

  /** Records that an endpoint announced its shutdown. */
  markLeaving(endpoint: EndpointRecord): void {
    this.leavingUntil.set(leavingKey(endpoint), this.options.clock.now() + LEAVING_TTL_MS);
  }

  /**
   * Chooses an endpoint and counts the attempt as in flight. Returns undefined if there are no candidates.
   * @param excluded ids of endpoints that this call has already tried
   */
  pick(excluded: ReadonlySet<string>, request: PickRequest): EndpointPick | undefined {
    const now = this.options.clock.now();
    const { trafficClass, priority } = request;
    const { callerZone, random } = this.options;
    const slowStartMs = this.options.slowStartMs();
    const context = { now, slowStartMs, meanLimit: this.meanLimit };
    const candidates = this.findCandidates(excluded, priority, now);
    const reliable = selectReliable(candidates, request.repeatable ?? true, context);
    const usable = this.selectByDuration(reliable, request, context);
    const view = chooseTarget(usable, { callerZone, context, random });
    if (view === undefined) return undefined;
    view.onStart();
    return {
      endpoint: view.record,
      acceptsRepeats: view.acceptsRepeats,
      hasAlternative:
        request.mustFitMs !== undefined &&
        usable.some((other) => other !== view && canTakeCall(other, trafficClass, context)),
      end: (result, outcome) =>
        this.onEnd(view, { trafficClass, priority, startedAt: now, result, outcome }),
    };
  }

  /**
   * Time until the first endpoint that announces a rate limit wants calls of a priority again, in milliseconds; undefined if
   * no endpoint refuses them for its rate limit.
   */
  pausedForMs(priority: CallPriority): number | undefined {
    const now = this.options.clock.now();
    const pauses = [...this.views.values()].map((view) => view.pausedForMs(priority, now));
    const ahead = pauses.filter((pausedMs) => pausedMs > 0);
    return ahead.length === 0 ? undefined : Math.min(...ahead);
  }

  /** Leaves out the endpoints that are too slow for a call that can't be protected from them. */
  private selectByDuration(
    candidates: readonly EndpointView[],
    { trafficClass, mustFitMs }: PickRequest,
    context: CostContext,
  ): readonly EndpointView[] {
    if (mustFitMs === undefined) return candidates;
    const call = { trafficClass, remainingMs: mustFitMs };
    return selectByDuration(candidates, call, { context, random: this.options.random });
  }

  private chooseViews(): void {
    const { callerId, callerZone, clock } = this.options;
    const now = clock.now();
    const subset = chooseSubset(callerId, callerZone, this.ready, this.subsetSize);
    const views = new Map<string, EndpointView>();
    for (const record of subset) {
      const existing = this.views.get(record.id);
      if (existing === undefined) {
        views.set(record.id, new EndpointView(record, this.hasSeenEndpoints ? now : -Infinity));
      } else {
        existing.update(record, now);
        views.set(record.id, existing);
      }
    }
    this.views = views;
    this.hasSeenEndpoints ||= subset.length > 0;
  }

  private onEnd(view: EndpointView, end: PickEnd): void {
    const { trafficClass, priority, startedAt, result, outcome } = end;
    const now = this.options.clock.now();
    view.onEnd(result, now);
    if (outcome?.returnInMs !== undefined) view.pause(priority, now + outcome.returnInMs);
    if (outcome?.refusal === 'overload') view.onOverload(trafficClass, now);
    if (outcome?.load !== undefined) {
      view.onLoad(outcome.load, trafficClass, now);
      this.meanLimit += LIMIT_WEIGHT * (outcome.load.limit - this.meanLimit);
    }
    const isTargetsAnswer = result === 'answered' && outcome?.refusal === undefined;
    if (isTargetsAnswer || result === 'hedged') {
      view.onLatency(this.baseline.record(trafficClass, now - startedAt), now);
      return;
    }
    // An attempt without an answer gives a lower bound of the latency.
    const leastRatio = isUnavailable(outcome)
      ? UNAVAILABLE_RATIO
      : this.baseline.ratioOf(trafficClass, now - startedAt);
    if (leastRatio > view.latencyRatio(now)) view.onLatency(leastRatio, now);
  }

  /** Extends the subset while all of its endpoints are at their rate limits: others may have room. */
  private findCandidates(
    excluded: ReadonlySet<string>,
    priority: CallPriority,
    now: number,
  ): EndpointView[] {
    let candidates = this.candidates(excluded, priority, now);
    while (candidates.length === 0 && this.subsetSize < this.ready.length) {
      if (this.pausedForMs(priority) === undefined) break;
      this.subsetSize += SUBSET_SIZE;
      this.chooseViews();
      candidates = this.candidates(excluded, priority, now);
    }
    return candidates;
  }

  private candidates(
    excluded: ReadonlySet<string>,
    priority: CallPriority,
    now: number,
  ): EndpointView[] {
    return [...this.views.values()].filter(
      (view) =>
        !excluded.has(view.record.id) &&
        !this.isLeaving(view.record, now) &&
        view.pausedForMs(priority, now) === 0,
    );
  }

  private isLeaving(record: EndpointRecord, now: number): boolean {
    const until = this.leavingUntil.get(leavingKey(record));
    if (until === undefined) return false;
    if (now < until) return true;
    this.leavingUntil.delete(leavingKey(record));
    return false;
  }
}

/** Whether an endpoint has room for a call of a traffic class and refused none lately. */
function canTakeCall(view: EndpointView, trafficClass: string, context: CostContext): boolean {
  return isPreferable(view, context) && !view.isOverloaded(trafficClass, context.now);
}

/** Whether the gate has no available target. A refusal with a crash note concerns only the one request. */
function isUnavailable(outcome: ReportedOutcome | undefined): boolean {
  return outcome?.refusal === 'unavailable' && outcome.crashNote === undefined;
}

function leavingKey(record: EndpointRecord): string {
  return `${record.id}#${record.incarnation}`;
}
