/**
 * The call hooks of a sidecar's gate: limit by kind, retry budget, crash detection, and the
 * congestion that is reported to the caller.
 */
import { ANY_CALLER, type CallerKey } from '../admission/target-rate-limiter.js';
import type { CongestionLevel } from '../admission/congestion-level.js';
import { RunResult } from '../admission/kind-circuit-breaker.js';
import { HttpStatus } from '../common/http-status.js';
import type { CallContext } from '../call/call-context.js';
import type { Bottleneck, KindPace } from '../call/outcome.js';
import { HIGHEST_IMPORTANCE } from '../policy/importance.js';
import type { WatchedRun } from '../quarantine/crash-watch.js';
import type { AcceptedRepeats } from '../retry/accepted-repeats.js';
import type { CallHooks } from './call-hooks.js';
import { reportedCongestion } from './gate-congestion.js';
import type { GateServices } from './inbound-services.js';
import { mayRunNow } from './long-run-check.js';
import type { KindRefusal } from './kind-refusal.js';
import { CallKindLimit } from './call-kind-limit.js';
import { CallRetryBudget } from './call-retry-budget.js';

/** Properties of a call at a gate that are not part of its context. */
export interface GateCallOptions {
  /** Whether a target makes the call. */
  readonly isNested: boolean;
  /**
   * Whether the few calls of its kind observed so far suggest that a target makes the call. The
   * limit by kind does not apply then: after a start it would refuse nested calls until enough of
   * them have been observed, and the work of their callers would be lost. Default: `isNested`.
   */
  readonly isPresumedNested?: boolean;
  /** The process that sent the call. Default: {@link ANY_CALLER}. */
  readonly caller?: CallerKey;
  /** Wait for admission above which the call reports overload, in milliseconds. */
  readonly congestedAfterMs: number;
}

export class GateCallHooks implements CallHooks {
  private readonly kindLimit: CallKindLimit;
  private readonly retryBudget: CallRetryBudget;
  /** When the call was sent to the target, in monotonic milliseconds; undefined while it is not there. */
  private arrivedAt: number | undefined;

  constructor(
    private readonly services: GateServices,
    private readonly context: CallContext,
    private readonly options: GateCallOptions,
  ) {
    this.kindLimit = new CallKindLimit(services, context);
    this.retryBudget = new CallRetryBudget(services, context, options.isNested);
  }

  get isNested(): boolean {
    return this.options.isNested;
  }

  get caller(): CallerKey {
    return this.options.caller ?? ANY_CALLER;
  }

  get repeatRoom(): AcceptedRepeats {
    return this.retryBudget.room;
  }

  isTargetResponsive(): boolean {
    return this.services.runOutcomes.allowsCall(this.context.kind);
  }

  mayRunNow(): boolean {
    const { kindPace, targetLoad, unservedRuns, clock } = this.services;
    const { kind, deadlineAt, isReroutable = false } = this.context;
    if (isReroutable && unservedRuns.isFailing) return false;
    return mayRunNow({
      isReroutable,
      remainingMs: deadlineAt - clock.now(),
      pace: kindPace.paceOf(kind),
      slowedRatio: targetLoad.slowedRatio,
    });
  }

  acquireKindLimit(): KindRefusal | undefined {
    const isNested = this.options.isPresumedNested ?? this.isNested;
    return this.kindLimit.acquire(isNested, !isNested && this.isFavoured());
  }

  tryAcquireRetryBudget(): boolean {
    return this.retryBudget.tryAcquire();
  }

  onAdmitted(waitedMs: number): boolean {
    const wasDelayed = waitedMs > this.options.congestedAfterMs;
    this.queueLevel.onCall(wasDelayed ? 1 : 0);
    return wasDelayed;
  }

  onNotAdmitted(): void {
    this.queueLevel.onCall(1);
  }

  onDispatch(): WatchedRun | undefined {
    this.retryBudget.onDispatch();
    this.arrivedAt = this.services.clock.now();
    this.services.runOutcomes.onStart(this.context.kind);
    this.services.bottlenecks?.onStart(this.context.kind);
    return this.services.crashGuard.begin(this.context.fingerprint ?? '');
  }

  onAnswer(status: number, timeInTargetMs: number): void {
    this.kindLimit.onAnswer(status, timeInTargetMs);
    const result = runResultOf(status);
    // Being slow or full is not failing: `runOutcomes` and the load tell these.
    if (result !== RunResult.GivenUp && status !== HttpStatus.ServiceUnavailable)
      this.services.unservedRuns.onRun(result === RunResult.Answered);
    this.endRun(result);
  }

  onUnserved(): void {
    this.services.unservedRuns.onRun(false);
  }

  unservedShare(): number | undefined {
    return this.services.unservedRuns.reportedShare();
  }

  onMisdirected(expectedIncarnation: string): void {
    this.services.onMisdirected(expectedIncarnation);
  }

  isLikelyCause(run: WatchedRun, underWay: number): boolean {
    return this.services.crashGuard.isLikelyCause(run, underWay);
  }

  release(): void {
    this.endRun(RunResult.GivenUp);
    this.kindLimit.release();
    this.retryBudget.release();
  }

  kindPace(): KindPace | undefined {
    return this.services.kindPace.paceOf(this.context.kind);
  }

  congestion(): number {
    const queueLevel = this.queueLevel.current();
    return reportedCongestion(this.services, this.context.kind, this.isNested, queueLevel);
  }

  bottleneck(): Bottleneck | undefined {
    return this.services.bottlenecks?.bottleneckOf(this.context.kind);
  }

  /**
   * Whether the first hops refuse lower ranks in favour of this call: the limit by kind would refuse it as well. The highest
   * importance is favoured by all of them, whatever this process knows of the ranks.
   */
  private isFavoured(): boolean {
    const { bottlenecks, isFavoured } = this.services;
    const { importance } = this.context;
    if (bottlenecks === undefined || isFavoured === undefined) return false;
    if (importance === HIGHEST_IMPORTANCE && bottlenecks.isAnyDownstream) return true;
    const bottleneck = this.bottleneck();
    return bottleneck !== undefined && isFavoured(bottleneck.service, importance);
  }

  /** Records once how the run in the target ended. */
  private endRun(result: RunResult): void {
    if (this.arrivedAt === undefined) return;
    const { runOutcomes, kindPace, bottlenecks, clock } = this.services;
    const { kind } = this.context;
    const durationMs = clock.now() - this.arrivedAt;
    this.arrivedAt = undefined;
    bottlenecks?.onEnd(kind);
    runOutcomes.onEnd(kind, result, durationMs);
    if (result === RunResult.Answered) kindPace.onAnswered(kind, durationMs);
    if (result === RunResult.GivenUp) kindPace.onGivenUp(kind, durationMs);
  }

  private get queueLevel(): CongestionLevel {
    return this.services.queueLevels[this.context.importance]!;
  }
}

/**
 * Result of a run by the status of its answer: 504 means that the target itself gave up at the
 * deadline.
 */
function runResultOf(status: number): RunResult {
  if (status === HttpStatus.GatewayTimeout) return RunResult.GivenUp;
  return status < HttpStatus.InternalServerError ? RunResult.Answered : RunResult.Failed;
}
