/**
 * What clients, targets and the operator of a soak have seen on their sockets, and what of it breaks a promise.
 * Pure: times are passed in.
 */
import type { ExchangeResult } from './exchange-end.js';
import { ArrivalLedger, type ArrivalBound } from '../simulator/sidecars/arrival-ledger.js';

/** The promises that a run checks. */
export enum Check {
  AtMostOnce = 'at most once',
  NotRunIsTrue = 'not run is true',
  OwnWholeAnswer = 'own whole answer',
  RetryBudget = 'retry budget',
  InForceInTime = 'in force in time',
  CleanStop = 'clean stop',
  StopInTime = 'stop in time',
  Goodput = 'goodput',
  Recovery = 'recovery',
  DeadlyBound = 'deadly requests bounded',
  NoFalseQuarantine = 'no innocent request quarantined',
}

/** A promise that was broken. */
export interface Violation {
  readonly check: Check;
  readonly detail: string;
}

/** How one request ended, of a client or of a target. */
export interface RequestOutcome extends ExchangeResult {
  readonly id: string;
  /** Machine whose sidecar it was sent to. */
  readonly machine: number;
  /** Whether a target made it. */
  readonly isNested: boolean;
  /** Whether targets crash under it. Default false. */
  readonly isDeadly?: boolean;
  /** How long its sender waits, in milliseconds. */
  readonly deadlineMs: number;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** Time in which something is wrong with a machine. */
export interface Disturbance {
  readonly machine: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** What a run has to reach, and what it is held against. */
export interface SoakBounds {
  readonly retries: ArrivalBound;
  /** Part of all requests that have to be answered with success. */
  readonly minSuccessRatio: number;
  /** Part of the requests of the calm end that have to be. */
  readonly minSuccessRatioAtEnd: number;
  /** From this moment on nothing is wrong any more and recovery is over, in milliseconds. */
  readonly recoveredAt: number;
}

/** A request that crashes its targets is kept from them this long after so many crashes, in milliseconds, but for a few. */
const CRASHES_BEFORE_QUARANTINE = 3;
const MAX_QUARANTINE_DELAY_MS = 3_000;
const MAX_LATE_RUNS = 3;
/** In the body of a refusal for it. */
const QUARANTINE_PROBLEM = 'problem:quarantined';

const STATUS_OK = 200;
const STATUS_FAILED = 500;
/** A request that was sent in the first half of a stop may last into its last sixth: no stop can wait longer. */
const EARLY_PART = 0.5;
const LAST_PART = 5 / 6;
/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
/** A request that nothing else has disturbed this long before its end was cut by the stop, in milliseconds. */
const UNDISTURBED_MS = 3_000;

/** When a request that crashes its targets was begun, and when they crashed under it, in milliseconds. */
interface DeadlyHistory {
  readonly runsAt: number[];
  readonly crashesAt: number[];
}

export class SoakRecord {
  readonly arrivals = new ArrivalLedger();
  private readonly runs = new Map<string, number>();
  private readonly atMostOnceIds = new Set<string>();
  private readonly outcomes: RequestOutcome[] = [];
  private readonly stops: Disturbance[] = [];
  private readonly disturbances: Disturbance[] = [];
  private readonly deadly = new Map<string, DeadlyHistory>();
  private readonly foundViolations: Violation[] = [];
  private readonly checkCounts = new Map<Check, number>();

  /** A target begins to run a request. */
  onRun(id: string): void {
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
  }

  /** A target begins a request that crashes it. */
  onDeadlyRun(name: string, atMs: number): void {
    this.historyOf(name).runsAt.push(atMs);
  }

  /** A target crashes under such a request. */
  onDeadlyCrash(name: string, atMs: number): void {
    this.historyOf(name).crashesAt.push(atMs);
  }

  /** A client sends a request that may run at most once. */
  onAtMostOnceSent(id: string): void {
    this.atMostOnceIds.add(id);
  }

  onRequestEnded(outcome: RequestOutcome): void {
    this.outcomes.push(outcome);
  }

  /** Something goes wrong with a machine for a time. */
  onDisturbance(disturbance: Disturbance): void {
    this.disturbances.push(disturbance);
  }

  /** A sidecar is stopped as planned. */
  onStop(stop: Disturbance): void {
    this.stops.push(stop);
  }

  /** A process that was stopped as planned has ended. @param isByItself false where it had to be killed */
  onStopped(process: string, isByItself: boolean): void {
    this.countCheck(Check.StopInTime);
    if (isByItself) return;
    const detail = `${process} was still there at the end of its grace time`;
    this.foundViolations.push({ check: Check.StopInTime, detail });
  }

  /** A machine in touch was asked whether an accepted change is in force. */
  onConfigurationRead(isInForce: boolean, detail: string): void {
    this.countCheck(Check.InForceInTime);
    if (!isInForce) this.foundViolations.push({ check: Check.InForceInTime, detail });
  }

  /** Everything that broke a promise, once the run is over. */
  violations(bounds: SoakBounds): Violation[] {
    this.checkRuns();
    for (const outcome of this.outcomes) this.checkOutcome(outcome);
    this.checkRetries(bounds);
    this.checkDeadly();
    const ofClients = this.outcomes.filter(({ isNested }) => !isNested);
    this.checkSuccessRatio(Check.Goodput, bounds.minSuccessRatio, ofClients);
    const atEnd = ofClients.filter(({ sentAt }) => sentAt >= bounds.recoveredAt);
    this.checkSuccessRatio(Check.Recovery, bounds.minSuccessRatioAtEnd, atEnd);
    return this.foundViolations;
  }

  /** Part of all requests of clients that were answered with success, 0 to 1. */
  get successRatio(): number {
    return successRatioOf(this.outcomes.filter(({ isNested }) => !isNested));
  }

  /** How often each check could have failed; one with none counts as not run. */
  checkCountOf(check: Check): number {
    return this.checkCounts.get(check) ?? 0;
  }

  private checkRuns(): void {
    for (const id of this.atMostOnceIds) {
      const runs = this.runs.get(id) ?? 0;
      if (runs > 0) this.countCheck(Check.AtMostOnce);
      if (runs > 1)
        this.foundViolations.push({ check: Check.AtMostOnce, detail: `${id} ran ${runs} times` });
    }
  }

  private checkOutcome(outcome: RequestOutcome): void {
    const { id, status, body } = outcome;
    if (status === STATUS_OK) {
      this.countCheck(Check.OwnWholeAnswer);
      if (body !== answerBody(id)) {
        this.foundViolations.push({ check: Check.OwnWholeAnswer, detail: `${id} got '${body}'` });
      }
    }
    if (NOT_RUN_STATUSES.includes(status)) {
      this.countCheck(Check.NotRunIsTrue);
      const runs = this.runs.get(id) ?? 0;
      if (runs > 0) {
        const detail = `${id} got ${status} and ran ${runs} times`;
        this.foundViolations.push({ check: Check.NotRunIsTrue, detail });
      }
    }
    this.checkStop(outcome);
    this.checkFalseQuarantine(outcome);
  }

  private checkFalseQuarantine({ id, isDeadly = false, body }: RequestOutcome): void {
    if (isDeadly || this.deadly.size === 0) return;
    this.countCheck(Check.NoFalseQuarantine);
    if (!body.includes(QUARANTINE_PROBLEM)) return;
    this.foundViolations.push({ check: Check.NoFalseQuarantine, detail: `${id} was quarantined` });
  }

  /**
   * A request that was read before the stop, or that has run, ends with its target's answer, with a promise that it has
   * not run, or by its own deadline.
   */
  private checkStop(outcome: RequestOutcome): void {
    const { id, machine, sentAt, endedAt, status, hasTimedOut, deadlineMs } = outcome;
    const stop = this.stops.find(
      (each) => each.machine === machine && each.fromMs <= endedAt && endedAt <= each.untilMs,
    );
    if (stop === undefined || hasTimedOut || endedAt - sentAt >= deadlineMs) return;
    const hasRun = (this.runs.get(id) ?? 0) > 0;
    if (sentAt > stop.fromMs && !hasRun) return;
    if (isBeyondGrace(outcome, stop)) return;
    const isDisturbed = this.disturbances.some(
      (each) => each.fromMs <= endedAt && each.untilMs >= sentAt - UNDISTURBED_MS,
    );
    if (isDisturbed) return;
    this.countCheck(Check.CleanStop);
    if (status !== 0 && !(hasRun && isForeignFailure(outcome))) return;
    const afterMs = Math.round(sentAt - stop.fromMs);
    const detail = `${id}, sent ${afterMs} ms after the signal, was cut with ${status} by a planned stop`;
    this.foundViolations.push({ check: Check.CleanStop, detail });
  }

  private checkDeadly(): void {
    for (const [name, { runsAt, crashesAt }] of this.deadly) {
      const thirdCrashAt = crashesAt[CRASHES_BEFORE_QUARANTINE - 1];
      if (thirdCrashAt === undefined) continue;
      this.countCheck(Check.DeadlyBound);
      const late = runsAt.filter((at) => at > thirdCrashAt + MAX_QUARANTINE_DELAY_MS).length;
      if (late <= MAX_LATE_RUNS) continue;
      const detail = `${name} began ${late} times later than ${MAX_QUARANTINE_DELAY_MS} ms after its third crash`;
      this.foundViolations.push({ check: Check.DeadlyBound, detail });
    }
  }

  private historyOf(name: string): DeadlyHistory {
    const existing = this.deadly.get(name);
    if (existing !== undefined) return existing;
    const created = { runsAt: [], crashesAt: [] };
    this.deadly.set(name, created);
    return created;
  }

  private checkRetries({ retries }: SoakBounds): void {
    this.countCheck(Check.RetryBudget);
    const worst = this.arrivals.worst(retries);
    if (worst.repeats <= worst.allowed) return;
    this.foundViolations.push({ check: Check.RetryBudget, detail: JSON.stringify(worst) });
  }

  private checkSuccessRatio(
    check: Check,
    least: number,
    outcomes: readonly RequestOutcome[],
  ): void {
    if (outcomes.length === 0) return;
    this.countCheck(check, outcomes.length);
    const served = successRatioOf(outcomes);
    if (served >= least) return;
    this.foundViolations.push({
      check,
      detail: `${served.toFixed(3)} served, at least ${least} wanted`,
    });
  }

  private countCheck(check: Check, by = 1): void {
    this.checkCounts.set(check, this.checkCountOf(check) + by);
  }
}

/** Whether a request that came in good time was still worked on when its process had to end. */
function isBeyondGrace(
  { sentAt, endedAt }: RequestOutcome,
  { fromMs, untilMs }: Disturbance,
): boolean {
  const graceMs = untilMs - fromMs;
  const isEarly = sentAt <= fromMs + EARLY_PART * graceMs;
  return isEarly && endedAt >= fromMs + LAST_PART * graceMs;
}

/** Whether a failure is not the target's own. */
function isForeignFailure({ id, status, body }: RequestOutcome): boolean {
  return status >= STATUS_FAILED && body !== answerBody(id);
}

function successRatioOf(outcomes: readonly RequestOutcome[]): number {
  return outcomes.filter(({ status }) => status === STATUS_OK).length / outcomes.length;
}

/** The whole body of the answer to a request. */
export function answerBody(id: string): string {
  return `answer to ${id}.`;
}
