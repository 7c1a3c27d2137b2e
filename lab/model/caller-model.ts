/**
 * The lab's callers: requests arrive at random at a rate that does not wait for answers, and callers
 * retry hard, resend with the same key, give up and hang up. Pure, so that the process and the
 * simulator run the same one.
 */
import type { Clock, Timer } from '../../src/common/clock.js';
import { exponential, type RandomSource } from '../../src/common/random.js';
import { isVerdict, type Verdict } from '../../src/common/verdict.js';
import type { AnswerCheck } from './answer-body.js';
import { apiKeyOf, type DemandModel } from './deployment.js';
import type { Cancellable } from './cancellable.js';

/** How callers behave. */
export interface CallerBehaviour {
  /** Longest time that a caller waits for one attempt, in milliseconds. */
  readonly patienceMs: number;
  /** Attempts of one request, the first included. */
  readonly maxAttempts: number;
  /** Mean pause before trying again when the answer's `Retry-After` is ignored. */
  readonly retryPauseMs: number;
  /** Fraction of refused requests whose callers come back when `Retry-After` says. */
  readonly honourRetryAfter: number;
  /** Fraction of attempts whose callers hang up before the answer. */
  readonly hangUp: number;
}

/** Callers that retry hard, most of them without regard to what they are told. Scenarios have these by default. */
export const HARD_RETRIES: CallerBehaviour = {
  patienceMs: 2_000,
  maxAttempts: 4,
  retryPauseMs: 100,
  honourRetryAfter: 0.3,
  hangUp: 0.002,
};

/** One attempt as sent to an edge. */
export interface CallerAttempt {
  readonly labId: string;
  readonly method: string;
  readonly path: string;
  readonly apiKey: string;
  readonly idempotencyKey: string | undefined;
  readonly timeoutMs: number;
}

/** What came back. */
export interface AttemptAnswer {
  /** HTTP status, or 0 when the connection broke or the caller's patience ended. */
  readonly status: number;
  readonly verdict: Verdict | undefined;
  readonly retryAfterSeconds: number;
  readonly check: AnswerCheck | undefined;
}

/** Sends attempts. */
export type AttemptSender = (
  attempt: CallerAttempt,
  done: (answer: AttemptAnswer) => void,
) => Cancellable;

/** How a request ended for its caller. */
export type RequestResult = 'completed' | 'refused' | 'failed' | 'hung-up';

/** What is kept of one request. */
export interface RequestRecord {
  readonly labId: string;
  readonly group: string;
  readonly kind: string;
  readonly idempotent: boolean;
  /** Monotonic milliseconds of the first attempt. */
  readonly startedAt: number;
  endedAt: number;
  attempts: number;
  result: RequestResult | undefined;
  /** Whether every attempt came back as `not-run`. */
  toldNotRun: boolean;
  /** Set when an answer was not the whole answer to this request. */
  wrongAnswer: AnswerCheck | undefined;
}

/** Multiplies the usual rate of a demand at a time. */
export type RateFactor = (demand: DemandModel, now: number) => number;

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const MIN_FACTOR = 1e-6;
const IDLE_CHECK_MS = 50;

/** Reads a verdict header. */
export function readVerdict(text: string | undefined): Verdict | undefined {
  return isVerdict(text) ? text : undefined;
}

export class CallerModel {
  readonly records: RequestRecord[] = [];
  private readonly timers: Timer[] = [];
  private sequence = 0;
  private stopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly behaviour: CallerBehaviour,
    private readonly demands: readonly DemandModel[],
    private readonly rateFactor: RateFactor,
    private readonly send: AttemptSender,
  ) {}

  /** Begins to send. */
  start(): void {
    const now = this.clock.now();
    this.demands.forEach((demand, index) => this.scheduleNext(demand, index, now));
  }

  /** Sends no new requests; those under way still end. */
  stop(): void {
    this.stopped = true;
    for (const timer of this.timers) timer.cancel();
  }

  /**
   * @param since when the last request was due: counted from there, late timers don't lower the rate
   */
  private scheduleNext(demand: DemandModel, index: number, since: number): void {
    if (this.stopped) return;
    const rate = demand.rate * this.rateFactor(demand, this.clock.now());
    const active = rate > MIN_FACTOR;
    const delayMs = active ? exponential(this.random, 1_000 / rate) : IDLE_CHECK_MS;
    // A rate may rise meanwhile, so long pauses are drawn anew: exponential times have no memory.
    const bounded = Math.min(delayMs, IDLE_CHECK_MS);
    const dueAt = since + bounded;
    this.timers[index] = this.clock.schedule(dueAt - this.clock.now(), () => {
      if (active && bounded === delayMs) this.startRequest(demand);
      this.scheduleNext(demand, index, dueAt);
    });
  }

  private startRequest(demand: DemandModel): void {
    this.sequence += 1;
    const labId = `r${this.sequence}`;
    const record: RequestRecord = {
      labId,
      group: demand.group,
      kind: demand.kind,
      idempotent: !demand.idempotencyKey,
      startedAt: this.clock.now(),
      endedAt: 0,
      attempts: 0,
      result: undefined,
      toldNotRun: true,
      wrongAnswer: undefined,
    };
    this.records.push(record);
    this.attempt(demand, record);
  }

  private attempt(demand: DemandModel, record: RequestRecord): void {
    record.attempts += 1;
    const { patienceMs, hangUp } = this.behaviour;
    const hangsUp = this.random.next() < hangUp;
    const handle = this.send(
      {
        labId: record.labId,
        method: demand.method,
        path: demand.path.replace('{n}', record.labId),
        apiKey: apiKeyOf(demand.group),
        idempotencyKey: demand.idempotencyKey ? `key-${record.labId}` : undefined,
        timeoutMs: patienceMs,
      },
      (answer) => {
        hangUpTimer?.cancel();
        this.onAnswer(demand, record, answer);
      },
    );
    const hangUpTimer = hangsUp
      ? this.clock.schedule(this.random.next() * 50, () => {
          handle.cancel();
          record.toldNotRun = false;
          this.end(record, 'hung-up');
        })
      : undefined;
  }

  private onAnswer(demand: DemandModel, record: RequestRecord, answer: AttemptAnswer): void {
    if (record.result !== undefined) return;
    if (answer.verdict !== 'not-run') record.toldNotRun = false;
    if (answer.status === STATUS_OK) {
      if (answer.check !== 'whole') record.wrongAnswer = answer.check;
      this.end(record, answer.check === 'whole' ? 'completed' : 'failed');
      return;
    }
    const final = answer.status >= 400 && answer.status < 500 && answer.status !== STATUS_CONFLICT;
    if (final || record.attempts >= this.behaviour.maxAttempts) {
      this.end(record, record.toldNotRun ? 'refused' : 'failed');
      return;
    }
    this.clock.schedule(this.pauseMs(answer), () => this.attempt(demand, record));
  }

  private pauseMs(answer: AttemptAnswer): number {
    const { honourRetryAfter, retryPauseMs } = this.behaviour;
    if (answer.retryAfterSeconds > 0 && this.random.next() < honourRetryAfter) {
      return answer.retryAfterSeconds * 1_000 * (1 + this.random.next());
    }
    return exponential(this.random, retryPauseMs);
  }

  private end(record: RequestRecord, result: RequestResult): void {
    if (record.result !== undefined) return;
    record.result = result;
    record.endedAt = this.clock.now();
  }
}
