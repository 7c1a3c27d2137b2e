/**
 * The limit by kind for one call at a gate: counts the call while it is in flight, and updates the
 * limit from its answer.
 */
import { isUncongested, type KindImpact } from '../admission/kind-impact.js';
import type { KindLimiter } from '../admission/kind-limiter.js';
import type { Clock } from '../common/clock.js';
import type { CallContext } from '../call/call-context.js';
import type { KindRefusal } from './kind-refusal.js';
import {
  isCongestionAboveThreshold,
  missesObjective,
  maxTimeInTargetMs,
} from './kind-limit-thresholds.js';
import { HttpStatus } from '../common/http-status.js';

/** State of a gate that calls of all kinds share. */
export interface KindLimitServices {
  readonly clock: Clock;
  /** Fraction of the target's own calls that are congested, 0 to 1. */
  readonly downstreamLevel: () => number;
  /** Tracks which kinds of call that congestion delays. */
  readonly kindImpact: KindImpact;
  /** Limits the client requests of each kind in flight while that congestion is high. */
  readonly kindLimiter: KindLimiter;
}

export class CallKindLimit {
  /** Whether the kind limiter counts the call as in flight. */
  private isCounted = false;
  /** Longest time that the call should spend in the target, in milliseconds. */
  private maxTargetMs = Infinity;

  constructor(
    private readonly services: KindLimitServices,
    private readonly context: CallContext,
  ) {}

  /**
   * Counts the call as in flight, unless its kind is at its limit.
   * @param isNested whether a target makes the call; such calls are not limited by kind
   * @param isExempt whether the call is counted but not limited, so that the limit stays up to date
   * @returns the cause if the limit is reached
   */
  acquire(isNested: boolean, isExempt = false): KindRefusal | undefined {
    const { kindLimiter, clock, downstreamLevel } = this.services;
    if (isNested) return undefined;
    const usualMs = this.services.kindImpact.baselineMs(this.context.kind);
    this.maxTargetMs = maxTimeInTargetMs(this.context, usualMs, clock.now());
    const congestionLevel = downstreamLevel();
    const entry = kindLimiter.enter(this.context.kind, {
      isUncongested: isUncongested(congestionLevel),
      isCongested: this.isCongested(congestionLevel),
      missesObjective: missesObjective(this.context, usualMs),
      isExempt,
    });
    this.isCounted = entry.type === 'entered';
    return entry.type === 'entered' ? undefined : { ...entry, congestionLevel };
  }

  /**
   * Updates the delay and the limit of the kind.
   * @param timeInTargetMs time that the call spent in the target, in milliseconds
   */
  onAnswer(status: number, timeInTargetMs: number): void {
    const { kindImpact, kindLimiter, downstreamLevel } = this.services;
    const { kind } = this.context;
    const level = downstreamLevel();
    kindImpact.onAnswer(kind, timeInTargetMs, status, isUncongested(level));
    if (!this.isCounted) return;
    kindLimiter.onAnswer(kind, {
      maxDurationMs: this.maxTargetMs,
      durationMs: timeInTargetMs,
      succeeded: status < HttpStatus.InternalServerError,
      isCongested: this.isCongested(level),
    });
  }

  /** The call is no longer in flight. Further calls have no effect. */
  release(): void {
    if (this.isCounted) this.services.kindLimiter.leave(this.context.kind);
    this.isCounted = false;
  }

  /** Whether congestion of the target's calls is above the threshold and delays this kind. */
  private isCongested(level: number): boolean {
    const { kind, importance } = this.context;
    const impact = this.services.kindImpact.impactOn(kind);
    return isCongestionAboveThreshold(level, importance) && impact > 0;
  }
}
