/**
 * Chooses the endpoint for each attempt among a caller's subset of one service: the better of two
 * random endpoints of the caller's own zone while that has room and is not slow, or is not much worse than
 * the best of three of all zones, else that one.
 */
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import type { Outcome } from '../call/outcome.js';
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import { EndpointView } from './endpoint-view.js';
import { LatencyBaseline } from './latency-baseline.js';
import { chooseSubset } from './subset.js';

/** Most endpoints of a subset that ejection may take out, as a fraction. */
const MAX_EJECTED_FRACTION = 0.5;
/** Above this part of its limit an endpoint of the own zone has no room, and calls spill over. */
const ROOM_OCCUPANCY = 0.75;
/** Above this multiple of the service's usual latency, calls don't stay in the zone for its sake. */
const MAX_LOCAL_SLOWNESS = 1.6;
/**
 * A call leaves the zone for an endpoint only if one of the zone costs this many times as much: where all
 * zones are full alike, crossing brings nothing. Chosen in the simulation (docs/design/platform.md).
 */
const CROSSING_FACTOR = 2;
/** Random endpoints that are compared in the own zone, and over all zones. */
const LOCAL_CHOICES = 2;
const SPILL_CHOICES = 3;
/** Weight of one report in the mean of the limits. */
const LIMIT_WEIGHT = 0.2;
/** A node that said it is leaving is passed over this long, whatever lists say. */
const LEAVING_MEMORY_MS = 60_000;

/** What a balancer is made of. */
export interface BalancerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly callerId: string;
  readonly callerZone: string;
  readonly slowStartMs: () => number;
}

/** The attempt at the chosen endpoint. */
export interface EndpointPick {
  readonly endpoint: EndpointRecord;
  /** Whether it has said last that it would let a repeat through; true where it has said nothing. */
  readonly grantsRepeats: boolean;
  /**
   * Must be called once, when the attempt is over.
   * @param outcome what the node reported; its refusals say nothing about the target's speed
   */
  end(result: EndpointResult, outcome: Pick<Outcome, 'refusal' | 'load'> | undefined): void;
}

export class Balancer {
  private views = new Map<string, EndpointView>();
  private readonly baseline = new LatencyBaseline();
  private readonly leavingUntil = new Map<string, number>();
  private known = false;
  /** Mean of the limits that nodes have reported lately. */
  private usualLimit = 1;

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
        views.set(record.id, new EndpointView(record, this.known ? now : -Infinity));
      } else {
        existing.update(record, now);
        views.set(record.id, existing);
      }
    }
    this.views = views;
    this.known ||= subset.length > 0;
  }

  /** Usual latency of a traffic class in milliseconds, as far as it is known. */
  usualLatencyMs(trafficClass: string): number | undefined {
    return this.baseline.usualLatencyMs(trafficClass);
  }

  /** Records that an endpoint itself said that it is leaving. */
  markLeaving(endpoint: EndpointRecord): void {
    this.leavingUntil.set(leavingKey(endpoint), this.options.clock.now() + LEAVING_MEMORY_MS);
  }

  /**
   * Chooses an endpoint and counts the attempt as started.
   * @param excluded ids of endpoints that this call has already tried
   * @param trafficClass names calls that take about the same time at every endpoint
   */
  pick(excluded: ReadonlySet<string>, trafficClass: string): EndpointPick | undefined {
    const now = this.options.clock.now();
    const candidates = this.candidates(excluded, now);
    const view = this.choose(candidates, now);
    if (view === undefined) return undefined;
    view.onStart();
    return {
      endpoint: view.record,
      grantsRepeats: view.grantsRepeats,
      end: (result, outcome) => {
        const endedAt = this.options.clock.now();
        view.onEnd(result, endedAt);
        if (outcome?.load !== undefined) {
          view.onLoad(outcome.load, endedAt);
          this.usualLimit += LIMIT_WEIGHT * (outcome.load.limit - this.usualLimit);
        }
        const isTargetsAnswer = result === 'answered' && outcome?.refusal === undefined;
        if (isTargetsAnswer || result === 'hedged')
          view.onLatency(this.baseline.learn(trafficClass, endedAt - now), endedAt);
      },
    };
  }

  private candidates(excluded: ReadonlySet<string>, now: number): EndpointView[] {
    const usable: EndpointView[] = [];
    const ejected: EndpointView[] = [];
    for (const view of this.views.values()) {
      if (excluded.has(view.record.id) || this.isLeaving(view.record, now)) continue;
      if (view.isEjected(now)) ejected.push(view);
      else usable.push(view);
    }
    const floor = Math.ceil((usable.length + ejected.length) * (1 - MAX_EJECTED_FRACTION));
    while (usable.length < floor) usable.push(ejected.pop()!);
    return usable;
  }

  private isLeaving(record: EndpointRecord, now: number): boolean {
    const until = this.leavingUntil.get(leavingKey(record));
    if (until === undefined) return false;
    if (now < until) return true;
    this.leavingUntil.delete(leavingKey(record));
    return false;
  }

  private choose(candidates: EndpointView[], now: number): EndpointView | undefined {
    const local = candidates.filter((view) => view.record.zone === this.options.callerZone);
    const nearby = this.bestOf(LOCAL_CHOICES, local, now);
    if (nearby !== undefined && this.isGoodEnough(nearby, now)) return nearby;
    const best = this.bestOf(SPILL_CHOICES, candidates, now);
    if (nearby === undefined || best === undefined) return best;
    const isWorthCrossing = this.costOf(nearby, now) > CROSSING_FACTOR * this.costOf(best, now);
    return isWorthCrossing ? best : nearby;
  }

  /** Whether a call may stay at an endpoint of its zone without looking further. */
  private isGoodEnough(view: EndpointView, now: number): boolean {
    const isRoomy = view.occupancy(now, this.usualLimit) < ROOM_OCCUPANCY;
    return isRoomy && view.slowness(now) < MAX_LOCAL_SLOWNESS;
  }

  private costOf(view: EndpointView, now: number): number {
    return view.cost(now, this.options.slowStartMs(), this.usualLimit);
  }

  /** The cheapest of `count` different random endpoints. */
  private bestOf(
    count: number,
    pool: readonly EndpointView[],
    now: number,
  ): EndpointView | undefined {
    const left = [...pool];
    let best: EndpointView | undefined;
    let bestCost = Infinity;
    for (let drawn = 0; drawn < count && left.length > 0; drawn += 1) {
      const index = this.options.random.below(left.length);
      const view = left[index]!;
      left[index] = left[left.length - 1]!;
      left.pop();
      const cost = this.costOf(view, now);
      if (cost < bestCost) {
        best = view;
        bestCost = cost;
      }
    }
    return best;
  }
}

function leavingKey(record: EndpointRecord): string {
  return `${record.id}#${record.incarnation}`;
}
