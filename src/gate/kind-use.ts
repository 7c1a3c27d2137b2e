/**
 * The limit by kind for one call at a gate: asks it, counts the call as under way, and learns from its answer. Owns whether
 * the call is counted; relies on `kind-tolerance.ts` for when the limit applies.
 */
import { isCalm, type KindImpact } from '../admission/kind-impact.js';
import type { KindLimiter } from '../admission/kind-limiter.js';
import type { Clock } from '../common/clock.js';
import type { CallContext } from '../call/call-context.js';
import type { KindRefusal } from './kind-refusal.js';
import {
  isCongestionAboveThreshold,
  missesObjective,
  maxTimeInTargetMs,
} from './kind-tolerance.js';
import { HttpStatus } from '../common/http-status.js';

/** What the gate keeps of all kinds. */
export interface KindLimitServices {
  readonly clock: Clock;
  /** Part of the calls that the target makes which are congested, 0 to 1. */
  readonly downstreamLevel: () => number;
  /** Learns which kinds of call that level delays. */
  readonly kindImpact: KindImpact;
  /** Bounds the requests of clients of each kind while that level is high. */
  readonly kindLimiter: KindLimiter;
}

export class CallKindLimit {
  /** Whether the kind limiter counts the call as under way. */
  private isCounted = false;
  /** Time that the call should be in the target at most, in milliseconds. */
  private maxTargetMs = Infinity;

  constructor(
    private readonly services: KindLimitServices,
    private readonly context: CallContext,
  ) {}

  /**
   * Counts the call as under way; says why not where its kind is at its limit.
   * @param isNested whether a target makes the call: those are never limited by kind
   */
  acquire(isNested: boolean): KindRefusal | undefined {
    const { kindLimiter, clock, downstreamLevel } = this.services;
    if (isNested) return undefined;
    const usualMs = this.services.kindImpact.usualMs(this.context.kind);
    this.maxTargetMs = maxTimeInTargetMs(this.context, usualMs, clock.now());
    const congestionLevel = downstreamLevel();
    const entry = kindLimiter.enter(this.context.kind, {
      isCalm: isCalm(congestionLevel),
      isCongested: this.isCongested(congestionLevel),
      missesObjective: missesObjective(this.context, usualMs),
    });
    this.isCounted = entry.type === 'entered';
    return entry.type === 'entered' ? undefined : { ...entry, congestionLevel };
  }

  /**
   * The target has answered: learns how its own calls delay calls of this kind.
   * @param timeInTargetMs time that the call was in the target, in milliseconds
   */
  onAnswer(status: number, timeInTargetMs: number): void {
    const { kindImpact, kindLimiter, downstreamLevel } = this.services;
    const { kind } = this.context;
    const level = downstreamLevel();
    kindImpact.onAnswer(kind, timeInTargetMs, status, isCalm(level));
    if (!this.isCounted) return;
    kindLimiter.onAnswer(kind, {
      maxTargetMs: this.maxTargetMs,
      heldMs: timeInTargetMs,
      succeeded: status < HttpStatus.InternalServerError,
      isCongested: this.isCongested(level),
    });
  }

  /** The call is no longer under way. */
  release(): void {
    if (this.isCounted) this.services.kindLimiter.leave(this.context.kind);
    this.isCounted = false;
  }

  /** Whether so many calls of the target are congested that requests of this kind are limited. */
  private isCongested(level: number): boolean {
    const { kind, importance } = this.context;
    const impact = this.services.kindImpact.of(kind);
    return isCongestionAboveThreshold(level, importance) && impact > 0;
  }
}
