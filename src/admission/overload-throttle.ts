/**
 * Early refusal at the caller: calls that would probably be refused for overload are not sent.
 *
 * Keeps, for each traffic class (kind and group, or route and service), the fraction of calls to send. Each refusal decreases
 * the fraction by a factor, and it doubles over a period without refusals. So a traffic class causes only a few refusals per
 * second at any excess demand, and recovers within about a second after the overload, even if it has few calls.
 * docs/design/admission.md compares this with counting accepted calls (Beyer et al., "Site Reliability
 * Engineering", 2016, chapter 21) and with windows of answers, which both recover more slowly.
 */
import type { RandomSource } from '../common/random.js';
import type { CallThrottle, CongestionReport } from './call-throttle.js';

export interface ThrottleOptions {
  /** False to send every call; for comparisons in the lab. Default true. */
  readonly enabled?: boolean;
  /** Factor applied to the fraction for each refusal, less than 1. Default 0.9. */
  readonly decreaseFactor?: number;
  /** Time without refusals in which the fraction doubles, in milliseconds. Default 250. */
  readonly doublingMs?: number;
  /** Time after a counted refusal during which further refusals are ignored, in milliseconds. Default 0. */
  readonly cooldownMs?: number;
}

/** With both defaults, idle callees are full again within a second; counting accepted calls takes about five. */
const DEFAULT_DECREASE_FACTOR = 0.9;
const DEFAULT_DOUBLING_MS = 250;
/** Minimum fraction, so that answers still show when callees have capacity again. */
const MIN_FRACTION = 0.02;

/** Fraction of the calls of one traffic class to send, as of its last refusal. */
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

  shouldSend(trafficClass: string, now: number): boolean {
    if (this.options.enabled === false) return true;
    const fraction = this.fractionAt(this.classes.get(trafficClass), now);
    return fraction >= 1 || this.random.next() < fraction;
  }

  onAnswer(trafficClass: string, now: number, { overloaded }: CongestionReport): void {
    if (overloaded) this.onRefused(trafficClass, now);
  }

  /** Records that a call, or one of its nested calls, was refused for overload. */
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

  demandRatio(trafficClass: string, now: number): number {
    return 1 / this.fractionAt(this.classes.get(trafficClass), now);
  }

  private fractionAt(state: ClassState | undefined, now: number): number {
    if (state === undefined) return 1;
    const { doublingMs = DEFAULT_DOUBLING_MS } = this.options;
    return Math.min(1, state.fraction * 2 ** ((now - state.refusedAt) / doublingMs));
  }
}
