/**
 * Bounds how many requests of each kind are under way at one target while calls that the target makes are
 * congested. Such requests hold few slots' worth of work, so the limit of the target itself does not bite;
 * they pile up before a service downstream, and all of them are answered late.
 *
 * By Little's law, requests that are answered at a rate of X a millisecond and are to take T milliseconds
 * are X * T at a time. So the limit follows the measured rate of successful answers times the wanted time.
 * A bound on what is under way acts at once: when answers take twice as long, half as many requests begin.
 * Urgent kinds are given a longer wanted time, so they keep what they need, and the less urgent ones share
 * what is left. docs/design/platform.md compares it with refusing a fraction at the ingress. Worth of all kinds with these
 * limits 0.769 on the fan-in graph at 2.4 times demand and 0.815 on the deep search graph at 2.2; without them 0.577 and
 * 0.467 (`lab/simulator/sidecars`, seeds 1 and 2; docs/rounds/order-mesh.md).
 *
 * Asked by a gate for each request of a client; calls of targets are never limited by kind. Owns what is under way of each
 * kind; relies on the gate for whether calls downstream are congested, and for the time that a request is to take. Pure.
 */
import type { Clock } from '../common/clock.js';

/** Least time over which the rate of answers is measured, in milliseconds: shorter is noisier, longer lags. */
const MIN_RATE_WINDOW_MS = 500;
/** Least time constant with which the limit follows rate times wanted time, in milliseconds. */
const MIN_TIME_CONSTANT_MS = 200;
/** Least time in which the limit doubles while nothing is congested, in milliseconds. */
const MIN_DOUBLING_MS = 1_000;
/**
 * The same three times for kinds that are held long, as multiples of the time in the target. What is let in shows in answers
 * after that time: limits that moved faster followed a few answers of chance, and rose and fell by half every few seconds.
 */
const RATE_WINDOW_FACTOR = 1;
const TIME_CONSTANT_FACTOR = 0.25;
const DOUBLING_FACTOR = 3;
/** Weight of one answer in the time in the target: about the last five count. */
const DURATION_WEIGHT = 0.2;
/**
 * Limit of a kind of which nothing is known yet. Until calls are congested for the first time each answer raises
 * it by one, so that it doubles in the time of an answer: a process that starts while clients press lets in no
 * more than it has seen answered. A higher one lets in more of all kinds at a start, and less of the urgent one is in time
 * (docs/DECISIONS.md).
 */
const INITIAL_LIMIT = 6;
/** An answer stands for the time since the one before, but no longer than this, in milliseconds. */
const MAX_STEP_MS = 500;
/**
 * Part of a limit that is open to requests which can't be answered within their objective any more. Clients that were refused
 * come back while others come for the first time: all let in alike, half of what was answered was late.
 */
const MISSED_OBJECTIVE_FRACTION = 0.5;
/** Requests of a kind that are let in however long they take: without any, nothing would be learned. */
const MIN_LIMIT = 2;
/**
 * Runs that last longer than this tell something before they are answered, in milliseconds. Shorter ones are answered as
 * soon; let in on their time alone, 0.71 of the urgent kind was in time after a start under pressure, in the simulation.
 */
const LONG_RUN_MS = 1_000;
/** Part of the first limit that is in use where it proves too small. */
const MIN_UTILIZATION = 0.5;
/** A limit this many times above what is under way, while nothing is congested, is dropped. */
const UNLIMITED_ABOVE = 4;
/** Kinds that are remembered; routes come and go with the configuration. Bounds memory. */
const MAX_KINDS = 1_000;

/** How a target answered a request. */
export interface KindAnswer {
  /** Time that the request should have been in the target at most, in milliseconds. */
  readonly maxTargetMs: number;
  readonly succeeded: boolean;
  /** Time that it was in the target, in milliseconds. */
  readonly heldMs: number;
  /** Whether calls that the target makes for this kind are congested. */
  readonly isCongested: boolean;
}

/** What decides besides the limit when a request asks to be let in. */
interface EntryConditions {
  /** So little congested that work goes on. */
  readonly isCalm: boolean;
  /** So congested that requests of this kind are limited. */
  readonly isCongested: boolean;
  /** Whether it can't be answered within its objective any more. */
  readonly missesObjective: boolean;
}

const DEFAULT_CONDITIONS: EntryConditions = {
  isCalm: false,
  isCongested: false,
  missesObjective: false,
};

/** What the limit that was reached stems from. */
export type KindLimitCause =
  /** The limit that a kind starts with, raised by its answers: nothing was congested yet. */
  | 'first-limit'
  /** The target's calls for this kind are congested now. */
  | 'congested'
  /** They were, and the limit has not grown back yet. */
  | 'recovering';

/** Why a request was kept out, with the numbers that decided. */
export interface KindLimitReached {
  readonly type: 'limit-reached';
  readonly cause: KindLimitCause;
  /** Most requests of the kind at a time; it moves in fractions. */
  readonly limit: number;
  /** Requests of the kind under way. */
  readonly underWay: number;
}

type KindEntry = { readonly type: 'entered' } | KindLimitReached;

const ENTERED: KindEntry = { type: 'entered' };

interface KindState {
  inFlight: number;
  /** Infinity where there is no limit. */
  limit: number;
  /** Whether calls were never congested yet. */
  isStarting: boolean;
  /** Successful answers a millisecond. */
  answersPerMs: number;
  lastAnswerAt: number;
  /** When the first request asked to be let in, and the last one. */
  readonly createdAt: number;
  lastRequestAt: number;
  hasAnswered: boolean;
  /** Mean time in the target, in milliseconds; 0 before the first answer. */
  meanDurationMs: number;
}

export class KindLimiter {
  private readonly kinds = new Map<string, KindState>();

  constructor(private readonly clock: Clock) {}

  /** Counts a request as under way, unless its kind is at its limit. */
  enter(kind: string, entry: EntryConditions = DEFAULT_CONDITIONS): KindEntry {
    const state = this.state(kind);
    const now = this.clock.now();
    if (entry.isCalm) growWithoutAnswer(state, now);
    state.lastRequestAt = now;
    const limit = entry.missesObjective ? MISSED_OBJECTIVE_FRACTION * state.limit : state.limit;
    if (state.inFlight >= limit) return limitReached(state, limit, entry);
    state.inFlight += 1;
    return ENTERED;
  }

  /** A request that {@link enter} counted is over. */
  leave(kind: string): void {
    const state = this.kinds.get(kind);
    if (state !== undefined && state.inFlight > 0) state.inFlight -= 1;
  }

  /** The target answered a request that is still counted as under way. */
  onAnswer(kind: string, answer: KindAnswer): void {
    const state = this.state(kind);
    const now = this.clock.now();
    const elapsedMs = now - state.lastAnswerAt;
    state.lastAnswerAt = now;
    state.hasAnswered = true;
    state.meanDurationMs += DURATION_WEIGHT * (answer.heldMs - state.meanDurationMs);
    const rateWindowMs = Math.max(MIN_RATE_WINDOW_MS, RATE_WINDOW_FACTOR * state.meanDurationMs);
    state.answersPerMs *= Math.exp(-elapsedMs / rateWindowMs);
    if (answer.succeeded) state.answersPerMs += 1 / rateWindowMs;
    const stepMs = Math.min(elapsedMs, MAX_STEP_MS);
    if (answer.isCongested) tighten(state, answer.maxTargetMs, stepMs);
    else relax(state, stepMs);
  }

  /** Most requests of a kind at a time; Infinity where there is no limit. */
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
  const limited = { type: 'limit-reached', limit, underWay: state.inFlight } as const;
  if (state.isStarting) return { ...limited, cause: 'first-limit' };
  return { ...limited, cause: isCongested ? 'congested' : 'recovering' };
}

/**
 * No answer has come for long, but requests run and their calls are not congested: more are let in the longer that lasts, as
 * long as the limit is made use of. With answers alone 6 of 40 requests got in whose runs take 4.6 s.
 */
function growWithoutAnswer(state: KindState, now: number): void {
  if (state.hasAnswered || now - state.createdAt < LONG_RUN_MS) return;
  if (state.inFlight < MIN_UTILIZATION * state.limit) return;
  state.limit *= 2 ** (Math.min(now - state.lastRequestAt, MAX_STEP_MS) / MIN_DOUBLING_MS);
}

/** Calls downstream are congested: follows what can be answered in the wanted time. */
function tighten(state: KindState, maxTargetMs: number, stepMs: number): void {
  const sustainable = state.answersPerMs * maxTargetMs;
  state.isStarting = false;
  if (state.limit === Infinity) state.limit = Math.max(state.inFlight, sustainable);
  const timeConstantMs = Math.max(
    MIN_TIME_CONSTANT_MS,
    TIME_CONSTANT_FACTOR * state.meanDurationMs,
  );
  const weight = 1 - Math.exp(-stepMs / timeConstantMs);
  state.limit = Math.max(MIN_LIMIT, state.limit + weight * (sustainable - state.limit));
}

/** Nothing is congested: more are let in, until the limit means nothing. */
function relax(state: KindState, stepMs: number): void {
  if (state.isStarting) state.limit += 1;
  else
    state.limit *=
      2 ** (stepMs / Math.max(MIN_DOUBLING_MS, DOUBLING_FACTOR * state.meanDurationMs));
  if (state.limit > UNLIMITED_ABOVE * Math.max(MIN_LIMIT, state.inFlight)) state.limit = Infinity;
}
