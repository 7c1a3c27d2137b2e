/**
 * Records what clients, targets and the operator of a soak observe, and checks it against the promises of the product.
 * Has no clock; times are passed in, in milliseconds.
 */
import { AnnouncementLedger } from './announcement-ledger.js';
import { DeadlyLedger } from './deadly-ledger.js';
import {
  answerBody,
  isForeignFailure,
  isSteadyRequest,
  NOT_RUN_STATUSES,
  STATUS_OK,
  successRatioOf,
  type RequestOutcome,
} from './request-outcome.js';
import { ArrivalLedger, type ArrivalBound } from '../simulator/sidecars/arrival-ledger.js';

/** The checks of a run, by the names that reports print. */
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
  TargetRateLimit = 'rate limit of a target',
  LeavingTarget = 'no request to a leaving target',
  WholeBody = 'own whole request body',
  NoOwnExit = 'no process ends by itself',
}

/** A check that failed. */
export interface Violation {
  readonly check: Check;
  readonly detail: string;
}

/** A period in which a machine is stopping or affected by a fault. */
export interface Disturbance {
  readonly machine: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Thresholds of the checks. */
export interface SoakBounds {
  readonly retries: ArrivalBound;
  /** Minimum fraction of client requests that succeed, 0 to 1. */
  readonly minSuccessRatio: number;
  /** The same for requests sent from `recoveredAt` on. */
  readonly minSuccessRatioAtEnd: number;
  /** Time at which recovery must be complete, in milliseconds. */
  readonly recoveredAt: number;
}

/** Substring of the body of a refusal due to quarantine. */
const QUARANTINE_PROBLEM = 'problem:quarantined';

/**
 * A request sent in the first half of the grace period that is still running in its last sixth may be cut: a stop can
 * not wait any longer.
 */
const EARLY_PART = 0.5;
const LAST_PART = 5 / 6;
/**
 * A failure is attributed to a stop only if no fault occurred during the request or within
 * this time before it, in milliseconds.
 */
const DISTURBANCE_MARGIN_MS = 3_000;

export class SoakRecord {
  readonly arrivals = new ArrivalLedger();
  readonly announcements = new AnnouncementLedger();
  readonly deadly = new DeadlyLedger();
  private readonly runs = new Map<string, number>();
  private readonly atMostOnceIds = new Set<string>();
  /** Lengths of request bodies in bytes, by request id: as sent by clients, and as read completely by targets. */
  private readonly sentBodies = new Map<string, number>();
  private readonly readBodies = new Map<string, number>();
  private readonly outcomes: RequestOutcome[] = [];
  private readonly stops: Disturbance[] = [];
  private readonly disturbances: Disturbance[] = [];
  private readonly foundViolations: Violation[] = [];
  private readonly checkCounts = new Map<Check, number>();

  /** A target starts to run a request. */
  onRun(id: string): void {
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
  }

  /** A client sends a request that may run at most once. */
  onAtMostOnceSent(id: string): void {
    this.atMostOnceIds.add(id);
  }

  /** A client begins to send a long request body. */
  onBodySent(id: string, bytes: number): void {
    this.sentBodies.set(id, bytes);
  }

  /** A target has read a request body completely. */
  onBodyRead(id: string, bytes: number): void {
    this.readBodies.set(id, bytes);
  }

  /** A process has ended, or was there until the end of the run. @param ownExits its ends that no signal of the run caused */
  onProcessEnd(process: string, ownExits: number): void {
    this.countCheck(Check.NoOwnExit);
    if (ownExits === 0) return;
    const detail = `${process} ended ${ownExits} times by itself`;
    this.foundViolations.push({ check: Check.NoOwnExit, detail });
  }

  onRequestEnded(outcome: RequestOutcome): void {
    this.outcomes.push(outcome);
    const { instance, announcement, endedAt } = outcome;
    if (instance === undefined || announcement === undefined) return;
    this.announcements.onRelayed(instance, announcement, endedAt);
  }

  /** A machine is affected by a fault for a time. */
  onDisturbance(disturbance: Disturbance): void {
    this.disturbances.push(disturbance);
  }

  /** A planned stop of a sidecar begins. */
  onStop(stop: Disturbance): void {
    this.stops.push(stop);
  }

  /** A planned stop has ended. @param hasExitedInTime whether the process exited without SIGKILL */
  onStopped(process: string, hasExitedInTime: boolean): void {
    this.countCheck(Check.StopInTime);
    if (hasExitedInTime) return;
    const detail = `${process} was still there at the end of its grace time`;
    this.foundViolations.push({ check: Check.StopInTime, detail });
  }

  /** A machine without a fault was checked for an accepted configuration change. */
  onConfigurationRead(isInForce: boolean, detail: string): void {
    this.countCheck(Check.InForceInTime);
    if (!isInForce) this.foundViolations.push({ check: Check.InForceInTime, detail });
  }

  /** Evaluates all checks; to be called once, after the run. @returns the violations */
  violations(bounds: SoakBounds): Violation[] {
    this.checkRuns();
    this.checkBodies();
    for (const outcome of this.outcomes) this.checkOutcome(outcome);
    this.checkRetries(bounds);
    this.checkDeadly();
    this.checkAnnouncements();
    const ofClients = this.outcomes.filter(isSteadyRequest);
    this.checkSuccessRatio(Check.Goodput, bounds.minSuccessRatio, ofClients);
    const atEnd = ofClients.filter(({ sentAt }) => sentAt >= bounds.recoveredAt);
    this.checkSuccessRatio(Check.Recovery, bounds.minSuccessRatioAtEnd, atEnd);
    return this.foundViolations;
  }

  /** Fraction of client requests, without uploads, that succeeded, 0 to 1. */
  get successRatio(): number {
    return successRatioOf(this.outcomes.filter(isSteadyRequest));
  }

  /** Number of evaluations of a check; 0 means that it was not exercised. */
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

  private checkBodies(): void {
    for (const [id, sent] of this.sentBodies) {
      const read = this.readBodies.get(id);
      if (read === undefined) continue;
      this.countCheck(Check.WholeBody);
      if (read === sent) continue;
      const detail = `${id} sent ${sent} bytes, its target read ${read}`;
      this.foundViolations.push({ check: Check.WholeBody, detail });
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
    if (isDeadly || this.deadly.isEmpty) return;
    this.countCheck(Check.NoFalseQuarantine);
    if (!body.includes(QUARANTINE_PROBLEM)) return;
    this.foundViolations.push({ check: Check.NoFalseQuarantine, detail: `${id} was quarantined` });
  }

  /**
   * Checks that a planned stop does not cut requests: one that was sent before the stop, or that has run, must get the
   * response of its target, a guarantee that it has not run, or time out at its own deadline.
   */
  private checkStop(outcome: RequestOutcome): void {
    const { id, machine, sentAt, endedAt, status, hasTimedOut, deadlineMs } = outcome;
    const stop = this.stops.find(
      (each) => each.machine === machine && each.fromMs <= endedAt && endedAt <= each.untilMs,
    );
    if (stop === undefined || hasTimedOut || endedAt - sentAt >= deadlineMs) return;
    const hasRun = (this.runs.get(id) ?? 0) > 0;
    if ((sentAt > stop.fromMs || outcome.isIncomplete === true) && !hasRun) return;
    if (isBeyondGrace(outcome, stop)) return;
    const isDisturbed = this.disturbances.some(
      (each) => each.fromMs <= endedAt && each.untilMs >= sentAt - DISTURBANCE_MARGIN_MS,
    );
    if (isDisturbed) return;
    this.countCheck(Check.CleanStop);
    if (status !== 0 && !(hasRun && isForeignFailure(outcome))) return;
    const afterMs = Math.round(sentAt - stop.fromMs);
    const detail = `${id}, sent ${afterMs} ms after the signal, was cut with ${status} by a planned stop`;
    this.foundViolations.push({ check: Check.CleanStop, detail });
  }

  private checkDeadly(): void {
    this.countCheck(Check.DeadlyBound, this.deadly.checkCount);
    for (const detail of this.deadly.violations()) {
      this.foundViolations.push({ check: Check.DeadlyBound, detail });
    }
  }

  private checkAnnouncements(): void {
    this.countCheck(Check.TargetRateLimit, this.announcements.limitCheckCount);
    this.countCheck(Check.LeavingTarget, this.announcements.leavingCheckCount);
    for (const { type, detail } of this.announcements.violations()) {
      const check = type === 'leaving' ? Check.LeavingTarget : Check.TargetRateLimit;
      this.foundViolations.push({ check, detail });
    }
  }

  private checkRetries({ retries }: SoakBounds): void {
    this.countCheck(Check.RetryBudget);
    const worst = this.arrivals.worstWindow(retries);
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

/** Whether a request sent early in the grace period was still running near its end. */
function isBeyondGrace(
  { sentAt, endedAt }: RequestOutcome,
  { fromMs, untilMs }: Disturbance,
): boolean {
  const graceMs = untilMs - fromMs;
  const isEarly = sentAt <= fromMs + EARLY_PART * graceMs;
  return isEarly && endedAt >= fromMs + LAST_PART * graceMs;
}
