/**
 * Model of the callers: an open-loop load generator with Poisson arrivals, whose callers retry with the same
 * idempotency key, time out and hang up. Does no I/O of its own, so that real processes and the simulator share it.
 */
import type { Clock, Timer } from '../../src/common/clock.js';
import { sampleExponential, type RandomSource } from '../../src/common/random.js';
import { isVerdict, type Verdict } from '../../src/common/verdict.js';
import type { AnswerCheck } from './answer-body.js';
import { apiKeyOf, type DemandModel } from './deployment.js';
import type { Cancellable } from './cancellable.js';

/** Parameters of the callers' retries, timeouts and cancellations. */
export interface CallerBehaviour {
  /** Timeout of one attempt, in milliseconds. */
  readonly patienceMs: number;
  /** Maximum number of attempts of a request, including the first. */
  readonly maxAttempts: number;
  /** Mean pause before a retry that does not honour `Retry-After`, in milliseconds. */
  readonly retryPauseMs: number;
  /** Fraction of responses with `Retry-After` whose callers wait at least that long before the retry. */
  readonly honourRetryAfter: number;
  /** Fraction of attempts that the caller cancels before the response. */
  readonly hangUp: number;
}

/** Default behaviour in scenarios: aggressive retries, most of which ignore `Retry-After`. */
export const AGGRESSIVE_RETRIES: CallerBehaviour = {
  patienceMs: 2_000,
  maxAttempts: 4,
  retryPauseMs: 100,
  honourRetryAfter: 0.3,
  hangUp: 0.002,
};

/** An attempt that is sent to an edge. */
export interface CallerAttempt {
  readonly labId: string;
  readonly method: string;
  readonly path: string;
  readonly apiKey: string;
  readonly idempotencyKey: string | undefined;
  readonly timeoutMs: number;
}

/** The outcome of an attempt. */
export interface AttemptAnswer {
  /** HTTP status, or 0 when the connection broke or the attempt timed out. */
  readonly status: number;
  readonly verdict: Verdict | undefined;
  readonly retryAfterSeconds: number;
  readonly check: AnswerCheck | undefined;
}

/** Sends an attempt; `done` receives its outcome. */
export type AttemptSender = (
  attempt: CallerAttempt,
  done: (answer: AttemptAnswer) => void,
) => Cancellable;

/** The final result of a request, as seen by its caller. */
export type RequestResult = 'completed' | 'refused' | 'failed' | 'hung-up';

/** Record of one request over all its attempts. */
export interface RequestRecord {
  readonly labId: string;
  readonly group: string;
  readonly kind: string;
  readonly idempotent: boolean;
  /** Start of the first attempt, in monotonic milliseconds. */
  readonly startedAt: number;
  endedAt: number;
  attempts: number;
  result: RequestResult | undefined;
  /** Whether every attempt ended with the verdict `not-run`. */
  allAttemptsNotRun: boolean;
  /** Set when a response was incomplete or belonged to another request. */
  wrongAnswer: AnswerCheck | undefined;
}

/** Returns the factor applied to a demand's normal rate at the given time. */
export type RateFactor = (demand: DemandModel, now: number) => number;

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const MIN_FACTOR = 1e-6;
const IDLE_CHECK_MS = 50;

/** Parses a verdict header; undefined when it is missing or unknown. */
export function parseVerdict(text: string | undefined): Verdict | undefined {
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

  /** Starts to send requests. */
  start(): void {
    const now = this.clock.now();
    this.demands.forEach((demand, index) => this.scheduleNext(demand, index, now));
  }

  /** Stops sending new requests; those in flight are completed. */
  stop(): void {
    this.stopped = true;
    for (const timer of this.timers) timer.cancel();
  }

  /**
   * Schedules the next request of a demand.
   * @param since when the previous request was due. Intervals start there, so that late timers don't lower the rate.
   */
  private scheduleNext(demand: DemandModel, index: number, since: number): void {
    if (this.stopped) return;
    const rate = demand.rate * this.rateFactor(demand, this.clock.now());
    const active = rate > MIN_FACTOR;
    const delayMs = active ? sampleExponential(this.random, 1_000 / rate) : IDLE_CHECK_MS;
    // A long interval is cut short and drawn again, so that a change of the rate takes effect soon. This keeps the
    // arrival process, because the exponential distribution is memoryless.
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
      allAttemptsNotRun: true,
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
          record.allAttemptsNotRun = false;
          this.end(record, 'hung-up');
        })
      : undefined;
  }

  private onAnswer(demand: DemandModel, record: RequestRecord, answer: AttemptAnswer): void {
    if (record.result !== undefined) return;
    if (answer.verdict !== 'not-run') record.allAttemptsNotRun = false;
    if (answer.status === STATUS_OK) {
      if (answer.check !== 'whole') record.wrongAnswer = answer.check;
      this.end(record, answer.check === 'whole' ? 'completed' : 'failed');
      return;
    }
    const isFinal =
      answer.status >= 400 && answer.status < 500 && answer.status !== STATUS_CONFLICT;
    if (isFinal || record.attempts >= this.behaviour.maxAttempts) {
      this.end(record, record.allAttemptsNotRun ? 'refused' : 'failed');
      return;
    }
    this.clock.schedule(this.pauseMs(answer), () => this.attempt(demand, record));
  }

  private pauseMs(answer: AttemptAnswer): number {
    const { honourRetryAfter, retryPauseMs } = this.behaviour;
    if (answer.retryAfterSeconds > 0 && this.random.next() < honourRetryAfter) {
      return answer.retryAfterSeconds * 1_000 * (1 + this.random.next());
    }
    return sampleExponential(this.random, retryPauseMs);
  }

  private end(record: RequestRecord, result: RequestResult): void {
    if (record.result !== undefined) return;
    record.result = result;
    record.endedAt = this.clock.now();
  }
}
