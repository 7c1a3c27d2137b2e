/**
 * The rules that the gate of a sidecar has for one call: the limit by kind, the retry budget, the watch for crashes, and
 * the congestion that it reports. Owns what the call counts towards each; relies on the parts that all calls share.
 */
import type { CongestionLevel } from '../admission/congestion-level.js';
import { RunResult } from '../admission/run-outcomes.js';
import { HttpStatus } from '../common/http-status.js';
import type { CallContext } from '../call/call-context.js';
import type { WatchedRun } from '../quarantine/crash-watch.js';
import type { RepeatRoom } from '../retry/repeat-room.js';
import type { CallHooks } from './call-rules.js';
import { reportedCongestion } from './gate-congestion.js';
import type { GateServices } from './inbound-services.js';
import type { KindRefusal } from './kind-refusal.js';
import { CallKindLimit } from './kind-use.js';
import { CallRetryBudget } from './repeat-use.js';

/** What a gate knows of a call besides its context. */
export interface GateCallOptions {
  /** Whether a target makes the call. */
  readonly isNested: boolean;
  /**
   * Whether a target made it as far as the few calls of its kind tell that were seen yet. The limit by kind leaves such calls
   * alone: after a start, it refused them until enough had come, and their callers' work was lost. Default: `isNested`.
   */
  readonly isPresumedNested?: boolean;
  /** A call that waits longer than this to be let in reports overload, in milliseconds. */
  readonly congestedAfterMs: number;
}

export class GateCallRules implements CallHooks {
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

  get repeatRoom(): RepeatRoom {
    return this.retryBudget.room;
  }

  isTargetResponsive(): boolean {
    return this.services.runOutcomes.mayBeAnswered(this.context.kind);
  }

  acquireKindLimit(): KindRefusal | undefined {
    return this.kindLimit.acquire(this.options.isPresumedNested ?? this.isNested);
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
    this.services.runOutcomes.onBegin(this.context.kind);
    return this.services.crashGuard.begin(this.context.fingerprint ?? '');
  }

  onAnswer(status: number, timeInTargetMs: number): void {
    this.kindLimit.onAnswer(status, timeInTargetMs);
    this.endRun(runResultOf(status));
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

  congestion(): number {
    const queueLevel = this.queueLevel.current();
    return reportedCongestion(this.services, this.context.kind, this.isNested, queueLevel);
  }

  /** Tells once how the call has left the target. */
  private endRun(result: RunResult): void {
    if (this.arrivedAt === undefined) return;
    const { runOutcomes, clock } = this.services;
    runOutcomes.onEnd(this.context.kind, result, clock.now() - this.arrivedAt);
    this.arrivedAt = undefined;
  }

  private get queueLevel(): CongestionLevel {
    return this.services.queueLevels[this.context.importance]!;
  }
}

/** What the status of a target's answer says of its run: targets give up themselves at the deadline, and say so. */
function runResultOf(status: number): RunResult {
  if (status === HttpStatus.GatewayTimeout) return RunResult.GivenUp;
  return status < HttpStatus.InternalServerError ? RunResult.Answered : RunResult.Failed;
}
