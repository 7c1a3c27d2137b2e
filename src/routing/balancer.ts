/**
 * The endpoints of one service as one caller uses them: adopts the list of endpoints, chooses one for each attempt
 * (target-choice.ts), and learns from how attempts end.
 *
 * Owns the views of the endpoints in the caller's subset, the usual latencies, and which endpoints said that they leave.
 * Relies on callers that end each pick once.
 */
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import type { Outcome } from '../call/outcome.js';
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import { EndpointView } from './endpoint-view.js';
import { LatencyBaseline } from './latency-baseline.js';
import { chooseSubset } from './subset.js';
import { chooseTarget } from './target-choice.js';

/** Weight of one report in the mean of the limits: about the last five count. */
const LIMIT_WEIGHT = 0.2;

/**
 * A node that said that it leaves is passed over for this long in milliseconds, whatever lists say: longer than lists lag
 * behind it. An incarnation that is back is another one.
 */
const LEAVING_TTL_MS = 60_000;

/**
 * Latency ratio that a refusal of a gate whose target is not available counts as: its calls are to go elsewhere for a while.
 */
const UNAVAILABLE_RATIO = 12;

/** What a balancer is made of. */
export interface BalancerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly callerId: string;
  readonly callerZone: string;
  /** Time over which a new endpoint takes up its load, in milliseconds; 0: at once. */
  readonly slowStartMs: () => number;
}

/** The attempt at the chosen endpoint. */
export interface EndpointPick {
  readonly endpoint: EndpointRecord;
  /** Whether its gate would let a repeat through, as it said last; true where it has said nothing. */
  readonly acceptsRepeats: boolean;
  /**
   * Must be called once, when the attempt is over.
   * @param outcome what the node reported; its refusals say nothing about the target's speed
   */
  end(result: EndpointResult, outcome: ReportedOutcome | undefined): void;
}

/** What an outcome tells of an endpoint. */
type ReportedOutcome = Pick<Outcome, 'refusal' | 'load' | 'crashNote'>;

/** The end of the attempt at a chosen endpoint. */
interface PickEnd {
  readonly trafficClass: string;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  readonly result: EndpointResult;
  readonly outcome: ReportedOutcome | undefined;
}

export class Balancer {
  private views = new Map<string, EndpointView>();
  private readonly baseline = new LatencyBaseline();
  private readonly leavingUntil = new Map<string, number>();
  private hasSeenEndpoints = false;
  /** Mean of the limits that nodes have reported lately, in calls. */
  private meanLimit = 1;

  constructor(private readonly options: BalancerOptions) {}

  /** Adopts a new list of the service's endpoints. */
  update(records: readonly EndpointRecord[]): void {
    const now = this.options.clock.now();
    const ready = records.filter((record) => record.state === 'ready');
    const subset = chooseSubset(this.options.callerId, this.options.callerZone, ready);
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

  /** Usual latency of a traffic class in milliseconds, as far as it is known. */
  usualLatencyMs(trafficClass: string): number | undefined {
    return this.baseline.usualLatencyMs(trafficClass);
  }

  /** Records that an endpoint itself said that it is leaving. */
  markLeaving(endpoint: EndpointRecord): void {
    this.leavingUntil.set(leavingKey(endpoint), this.options.clock.now() + LEAVING_TTL_MS);
  }

  /**
   * Chooses an endpoint and counts the attempt as started.
   * @param excluded ids of endpoints that this call has already tried
   * @param trafficClass names calls that take about the same time at every endpoint
   */
  pick(excluded: ReadonlySet<string>, trafficClass: string): EndpointPick | undefined {
    const now = this.options.clock.now();
    const view = chooseTarget(this.candidates(excluded, now), {
      callerZone: this.options.callerZone,
      context: { now, slowStartMs: this.options.slowStartMs(), meanLimit: this.meanLimit },
      random: this.options.random,
    });
    if (view === undefined) return undefined;
    view.onStart();
    return {
      endpoint: view.record,
      acceptsRepeats: view.acceptsRepeats,
      end: (result, outcome) => this.onEnd(view, { trafficClass, startedAt: now, result, outcome }),
    };
  }

  private onEnd(view: EndpointView, end: PickEnd): void {
    const { trafficClass, startedAt, result, outcome } = end;
    const now = this.options.clock.now();
    view.onEnd(result, now);
    if (outcome?.load !== undefined) {
      view.onLoad(outcome.load, now);
      this.meanLimit += LIMIT_WEIGHT * (outcome.load.limit - this.meanLimit);
    }
    const isTargetsAnswer = result === 'answered' && outcome?.refusal === undefined;
    if (isTargetsAnswer || result === 'hedged') {
      view.onLatency(this.baseline.record(trafficClass, now - startedAt), now);
      return;
    }
    const leastRatio = isUnavailable(outcome)
      ? UNAVAILABLE_RATIO
      : this.baseline.ratioOf(trafficClass, now - startedAt);
    if (leastRatio > view.latencyRatio(now)) view.onLatency(leastRatio, now);
  }

  private candidates(excluded: ReadonlySet<string>, now: number): EndpointView[] {
    return [...this.views.values()].filter(
      ({ record }) => !excluded.has(record.id) && !this.isLeaving(record, now),
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

/** Whether the gate has no target for calls now. What it says of one request that crashes targets is none of its others. */
function isUnavailable(outcome: ReportedOutcome | undefined): boolean {
  return outcome?.refusal === 'unavailable' && outcome.crashNote === undefined;
}

function leavingKey(record: EndpointRecord): string {
  return `${record.id}#${record.incarnation}`;
}
