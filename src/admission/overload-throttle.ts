/**
 * Early refusal at the caller: what callees refuse for overload is learned from their answers, and a
 * part of the calls that would be refused is no longer sent.
 *
 * For each traffic class (kind and group, or route and service) a process keeps the fraction of calls that it sends. Each refusal
 * shrinks the fraction, and time without refusals doubles it. So the refusals that one traffic class of one
 * process causes settle at a few a second, whatever the excess demand, and an idle callee is filled
 * again about a second after the overload ends, however few calls the class has.
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
  readonly decreaseFactor?: number;
  /** Time without refusals in which the fraction doubles, in milliseconds. Default 250. */
  readonly doublingMs?: number;
  /** Refusals within this time after one that counted do not count, in milliseconds. Default 0. */
  readonly cooldownMs?: number;
}

/**
 * Factor for each refusal, and time in which the fraction doubles, in milliseconds. With both, idle callees were filled
 * again within 0.6 s; counting accepted calls took 4.6 to 5.1 s (simulated; docs/design/admission.md).
 */
const DEFAULT_DECREASE_FACTOR = 0.9;
const DEFAULT_DOUBLING_MS = 250;
/** The fraction never falls below this, so that answers still tell when there is room again. */
const MIN_FRACTION = 0.02;

/** The fraction sent of one traffic class as of its last refusal. */
interface ClassState {
  fraction: number;
  refusedAt: number;
}

export class OverloadThrottle implements CallThrottle {
  private readonly classes = new Map<string, ClassState>();

  constructor(
    private readonly random: RandomSource,
    private readonly options: ThrottleOptions = {},
  ) {}

  /** Whether to send a call now. */
  admit(trafficClass: string, now: number): boolean {
    if (this.options.enabled === false) return true;
    const fraction = this.fractionAt(this.classes.get(trafficClass), now);
    return fraction >= 1 || this.random.next() < fraction;
  }

  onAnswer(trafficClass: string, now: number, { overloaded }: CongestionReport): void {
    if (overloaded) this.onRefused(trafficClass, now);
  }

  /** A call that was sent, or one made on its behalf, was refused for overload. */
  onRefused(trafficClass: string, now: number): void {
    const { decreaseFactor = DEFAULT_DECREASE_FACTOR } = this.options;
    const state = this.classes.get(trafficClass);
    const { cooldownMs = 0 } = this.options;
    if (state !== undefined && now - state.refusedAt < cooldownMs) return;
    const fraction = Math.max(MIN_FRACTION, this.fractionAt(state, now) * decreaseFactor);
    if (state === undefined) this.classes.set(trafficClass, { fraction, refusedAt: now });
    else {
      state.fraction = fraction;
      state.refusedAt = now;
    }
  }

  /** Wanted calls for each call sent, at least 1. */
  pressure(trafficClass: string, now: number): number {
    return 1 / this.fractionAt(this.classes.get(trafficClass), now);
  }

  private fractionAt(state: ClassState | undefined, now: number): number {
    if (state === undefined) return 1;
    const { doublingMs = DEFAULT_DOUBLING_MS } = this.options;
    return Math.min(1, state.fraction * 2 ** ((now - state.refusedAt) / doublingMs));
  }
}
