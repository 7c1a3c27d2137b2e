/**
 * Limits the requests of each kind in flight at one target while the target's downstream calls are congested. Requests that
 * wait for a downstream service use little capacity of the target itself, so the limit of the target does not bound them,
 * and they would pile up until all of them are late.
 *
 * By Little's law, X answers per millisecond with a duration of T milliseconds take X * T requests in flight, so the limit
 * follows the rate of successful answers times the maximum duration of a request. It acts at once: when answers take twice as
 * long, half as many requests are admitted. Urgent kinds get a longer maximum duration and so keep a larger part of the
 * downstream capacity. Nested calls of targets are not limited.
 * See docs/design/platform.md.
 */
import type { Clock } from '../common/clock.js';

/** Minimum window of the answer rate, in milliseconds: a shorter one is noisier, a longer one lags. */
const MIN_RATE_WINDOW_MS = 500;
/** Minimum time constant of the limit while calls are congested, in milliseconds. */
const MIN_TIME_CONSTANT_MS = 200;
/** Minimum time in which the limit doubles while calls are not congested, in milliseconds. */
const MIN_DOUBLING_MS = 1_000;
/**
 * The three times above for kinds with a long duration, as multiples of their mean duration. A change of the limit affects
 * answers only after that duration; a limit that moves faster follows noise and oscillates.
 */
const RATE_WINDOW_FACTOR = 1;
const TIME_CONSTANT_FACTOR = 0.25;
const DOUBLING_FACTOR = 3;
/** Weight of one answer in the moving average of the duration: covers about the last five. */
const DURATION_WEIGHT = 0.2;
/**
 * Limit of a kind without any answer. Until the first congestion each answer raises the limit by one, so that it doubles
 * within the duration of a request. This bounds what a process admits when it starts under overload; a higher value delays
 * urgent kinds then.
 */
const INITIAL_LIMIT = 6;
/** Maximum elapsed time that one event applies to a limit, in milliseconds. */
const MAX_STEP_MS = 500;
/**
 * Fraction of a limit that is available to requests which can no longer meet their objective. Otherwise retries of refused
 * requests would displace new requests that can still be answered in time.
 */
const MISSED_OBJECTIVE_FRACTION = 0.5;
/** Minimum limit of a kind: without any admitted request there would be no answers to raise the limit. */
const MIN_LIMIT = 2;
/**
 * Time without a first answer, in milliseconds, after which the limit may grow without answers. Kinds with a shorter
 * duration have an answer by then, and must not exceed their first limit before it when a process starts under overload.
 */
const LONG_RUN_MS = 1_000;
/** Fraction of the limit that must be in use for it to grow without answers. */
const MIN_UTILIZATION = 0.5;
/** A limit that exceeds the requests in flight by this factor is removed while calls are not congested. */
const UNLIMITED_ABOVE = 4;
/** Maximum number of tracked kinds; bounds memory, since kinds change with the configured routes. */
const MAX_KINDS = 1_000;

/** An answer of the target to a request. */
export interface KindAnswer {
  /** Maximum duration that the request should have had in the target, in milliseconds. */
  readonly maxDurationMs: number;
  readonly succeeded: boolean;
  /** Duration of the request in the target, in milliseconds. */
  readonly durationMs: number;
  /** Whether downstream calls of the target for this kind are congested. */
  readonly isCongested: boolean;
}

/** Conditions, apart from the limit, under which a request is admitted. */
interface EntryConditions {
  /** Whether downstream congestion is negligible. */
  readonly isUncongested: boolean;
  /** Whether downstream calls are so congested that requests of this kind are limited. */
  readonly isCongested: boolean;
  /** Whether the request can no longer be answered within its objective. */
  readonly missesObjective: boolean;
  /** Whether the request is counted but not limited. Default false. */
  readonly isExempt?: boolean;
}

const DEFAULT_CONDITIONS: EntryConditions = {
  isUncongested: false,
  isCongested: false,
  missesObjective: false,
};

/** Why a limit is in force. */
export type KindLimitCause =
  /** The initial limit of the kind, raised by its answers: no call has been congested so far. */
  | 'first-limit'
  /** Downstream calls of the target for this kind are congested. */
  | 'congested'
  /** Downstream calls were congested, and the limit has not fully recovered. */
  | 'recovering';

/** A request refused because its kind is at its limit. */
export interface KindLimitReached {
  readonly type: 'limit-reached';
  readonly cause: KindLimitCause;
  /** Maximum number of requests of the kind in flight; not a whole number. */
  readonly limit: number;
  /** Requests of the kind in flight. */
  readonly inFlight: number;
}

type KindEntry = { readonly type: 'entered' } | KindLimitReached;

const ENTERED: KindEntry = { type: 'entered' };

interface KindState {
  inFlight: number;
  /** Infinity if the kind is not limited. */
  limit: number;
  /** Whether no downstream call has been congested so far. */
  isStarting: boolean;
  /** Successful answers per millisecond. */
  answersPerMs: number;
  lastAnswerAt: number;
  /** Times of the first and of the latest request, in monotonic milliseconds. */
  readonly createdAt: number;
  lastRequestAt: number;
  hasAnswered: boolean;
  /** Mean duration in the target, in milliseconds; 0 before the first answer. */
  meanDurationMs: number;
}

export class KindLimiter {
  private readonly kinds = new Map<string, KindState>();

  constructor(private readonly clock: Clock) {}

  /** Counts a request as in flight, unless its kind is at its limit. */
  enter(kind: string, entry: EntryConditions = DEFAULT_CONDITIONS): KindEntry {
    const state = this.state(kind);
    const now = this.clock.now();
    if (entry.isUncongested) growWithoutAnswer(state, now);
    state.lastRequestAt = now;
    const limit = entry.missesObjective ? MISSED_OBJECTIVE_FRACTION * state.limit : state.limit;
    if (entry.isExempt !== true && state.inFlight >= limit)
      return limitReached(state, limit, entry);
    state.inFlight += 1;
    return ENTERED;
  }

  /** Removes a request counted by {@link enter}. */
  leave(kind: string): void {
    const state = this.kinds.get(kind);
    if (state !== undefined && state.inFlight > 0) state.inFlight -= 1;
  }

  /** Adjusts the limit after an answer. Must be called before {@link leave}. */
  onAnswer(kind: string, answer: KindAnswer): void {
    const state = this.state(kind);
    const now = this.clock.now();
    const elapsedMs = now - state.lastAnswerAt;
    state.lastAnswerAt = now;
    state.hasAnswered = true;
    state.meanDurationMs += DURATION_WEIGHT * (answer.durationMs - state.meanDurationMs);
    const rateWindowMs = Math.max(MIN_RATE_WINDOW_MS, RATE_WINDOW_FACTOR * state.meanDurationMs);
    state.answersPerMs *= Math.exp(-elapsedMs / rateWindowMs);
    if (answer.succeeded) state.answersPerMs += 1 / rateWindowMs;
    const stepMs = Math.min(elapsedMs, MAX_STEP_MS);
    if (answer.isCongested) tighten(state, answer.maxDurationMs, stepMs);
    else relax(state, stepMs);
  }

  /** Maximum number of requests of a kind in flight; Infinity if the kind is not limited. */
  limitOf(kind: string): number {
    return this.kinds.get(kind)?.limit ?? Infinity;
  }

  private state(kind: string): KindState {
    const existing = this.kinds.get(kind);
    if (existing !== undefined) return existing;
    if (this.kinds.size >= MAX_KINDS) this.evictIdle();
    const created = {
      inFlight: 0,
      limit: INITIAL_LIMIT,
      isStarting: true,
      answersPerMs: 0,
      lastAnswerAt: this.clock.now(),
      createdAt: this.clock.now(),
      lastRequestAt: this.clock.now(),
      hasAnswered: false,
      meanDurationMs: 0,
    };
    this.kinds.set(kind, created);
    return created;
  }

  private evictIdle(): void {
    for (const [kind, { inFlight }] of this.kinds) {
      if (inFlight === 0) this.kinds.delete(kind);
    }
  }
}

function limitReached(
  state: KindState,
  limit: number,
  { isCongested }: EntryConditions,
): KindLimitReached {
  const limited = { type: 'limit-reached', limit, inFlight: state.inFlight } as const;
  if (state.isStarting) return { ...limited, cause: 'first-limit' };
  return { ...limited, cause: isCongested ? 'congested' : 'recovering' };
}

/**
 * Doubles the limit with time while the first answer is outstanding and calls are not congested. Otherwise a kind whose
 * requests run for seconds would stay at its initial limit until the first of them ends.
 */
function growWithoutAnswer(state: KindState, now: number): void {
  if (state.hasAnswered || now - state.createdAt < LONG_RUN_MS) return;
  if (state.inFlight < MIN_UTILIZATION * state.limit) return;
  state.limit *= 2 ** (Math.min(now - state.lastRequestAt, MAX_STEP_MS) / MIN_DOUBLING_MS);
}

/** Moves the limit towards the requests in flight that can be answered within the maximum duration. */
function tighten(state: KindState, maxDurationMs: number, stepMs: number): void {
  const sustainable = state.answersPerMs * maxDurationMs;
  state.isStarting = false;
  if (state.limit === Infinity) state.limit = Math.max(state.inFlight, sustainable);
  const timeConstantMs = Math.max(
    MIN_TIME_CONSTANT_MS,
    TIME_CONSTANT_FACTOR * state.meanDurationMs,
  );
  const weight = 1 - Math.exp(-stepMs / timeConstantMs);
  state.limit = Math.max(MIN_LIMIT, state.limit + weight * (sustainable - state.limit));
}

/** Raises the limit while calls are not congested, and removes it once it is far above the requests in flight. */
function relax(state: KindState, stepMs: number): void {
  if (state.isStarting) state.limit += 1;
  else
    state.limit *=
      2 ** (stepMs / Math.max(MIN_DOUBLING_MS, DOUBLING_FACTOR * state.meanDurationMs));
  if (state.limit > UNLIMITED_ABOVE * Math.max(MIN_LIMIT, state.inFlight)) state.limit = Infinity;
}
