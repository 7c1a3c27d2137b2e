/**
 * Early refusal at the caller: what callees refuse for overload is learned from their answers, and a
 * part of the calls that would be refused is no longer sent.
 *
 * For each lane (kind and group) a process keeps the fraction of calls that it sends. Each refusal
 * shrinks the fraction, and time without refusals doubles it. So the refusals that one lane of one
 * process causes settle at a few a second, whatever the excess demand, and an idle callee is filled
 * again about a second after the overload ends, however few calls the lane has.
 * docs/design/admission.md compares this with counting accepted calls (Beyer et al., "Site Reliability
 * Engineering", 2016, chapter 21) and with windows of answers, which both refill more slowly.
 */
import type { RandomSource } from '../common/random.js';
import type { CallThrottle, CongestionReport } from './call-throttle.js';

/** How a throttle answers to refusals. */
export interface ThrottleOptions {
  /** False only in the lab, to show what the throttle is for. Default true. */
  readonly enabled?: boolean;
  /** Factor by which one refusal shrinks the fraction. Default 0.9. */
  readonly shrink?: number;
  /** Time without refusals in which the fraction doubles, in milliseconds. Default 250. */
  readonly doublingMs?: number;
  /** Refusals within this time after one that counted do not count, in milliseconds. Default 0. */
  readonly settleMs?: number;
}

const DEFAULT_SHRINK = 0.9;
const DEFAULT_DOUBLING_MS = 250;
/** The fraction never falls below this. */
const MIN_FRACTION = 0.02;

/** The fraction sent on one lane as of its last refusal. */
interface Lane {
  fraction: number;
  refusedAt: number;
}

export class OverloadThrottle implements CallThrottle {
  private readonly lanes = new Map<string, Lane>();

  constructor(
    private readonly random: RandomSource,
    private readonly options: ThrottleOptions = {},
  ) {}

  /** Whether to send a call now. */
  admit(lane: string, now: number): boolean {
    if (this.options.enabled === false) return true;
    const fraction = this.fractionAt(this.lanes.get(lane), now);
    return fraction >= 1 || this.random.next() < fraction;
  }

  onAnswer(lane: string, now: number, { overloaded }: CongestionReport): void {
    if (overloaded) this.onRefused(lane, now);
  }

  /** A call that was sent, or one made on its behalf, was refused for overload. */
  onRefused(lane: string, now: number): void {
    const { shrink = DEFAULT_SHRINK } = this.options;
    const state = this.lanes.get(lane);
    const { settleMs = 0 } = this.options;
    if (state !== undefined && now - state.refusedAt < settleMs) return;
    const fraction = Math.max(MIN_FRACTION, this.fractionAt(state, now) * shrink);
    if (state === undefined) this.lanes.set(lane, { fraction, refusedAt: now });
    else {
      state.fraction = fraction;
      state.refusedAt = now;
    }
  }

  /** Wanted calls for each call sent, at least 1. */
  pressure(lane: string, now: number): number {
    return 1 / this.fractionAt(this.lanes.get(lane), now);
  }

  private fractionAt(lane: Lane | undefined, now: number): number {
    if (lane === undefined) return 1;
    const { doublingMs = DEFAULT_DOUBLING_MS } = this.options;
    return Math.min(1, lane.fraction * 2 ** ((now - lane.refusedAt) / doublingMs));
  }
}
