/**
 * Dependencies of inbound calls, and their results: {@link InboundServices} for `shoredoor node`,
 * {@link GateServices} for a sidecar's gate.
 */
import type { AdmissionController } from '../admission/admission-controller.js';
import type { CongestionLevel } from '../admission/congestion-level.js';
import type { KindCircuitBreaker } from '../admission/kind-circuit-breaker.js';
import type { PathBottlenecks } from '../admission/path-bottlenecks.js';
import type { Importance } from '../policy/importance.js';
import type { Clock } from '../common/clock.js';
import type { Verdict } from '../common/verdict.js';
import type { KeyClaims } from '../dedup/claim.js';
import type { WatchedRun } from '../quarantine/crash-watch.js';
import type { KindPaceTracker } from './kind-pace-tracker.js';
import type { UnservedRuns } from './unserved-runs.js';
import type { TargetLoadTracker } from './target-load-tracker.js';
import type { KindLimitServices } from './call-kind-limit.js';
import type { Refusal } from '../call/refusal.js';
import type { RetryBudgetServices } from './call-retry-budget.js';

/** Shared by all calls to one target. */
export interface InboundServices {
  readonly clock: Clock;
  readonly admission: AdmissionController;
  /** Whether new calls of this kind are refused because the process is leaving. */
  readonly isLeaving: (kind: string) => boolean;
  readonly claims: KeyClaims;
}

/** Distinguishes crashes of the target from broken connections. */
interface GateCrashGuard {
  /** Whether the request is in quarantine. */
  isQuarantined(fingerprint: string): boolean;
  /** A request is about to be sent to the target. @returns undefined if crashes are not watched */
  begin(fingerprint: string): WatchedRun | undefined;
  /**
   * Whether the target may have crashed because of the run.
   * @param underWay different requests in the target when it crashed
   */
  isLikelyCause(run: WatchedRun, underWay: number): boolean;
}

/** Shared by all calls of one sidecar's gate. */
export interface GateServices extends InboundServices, KindLimitServices, RetryBudgetServices {
  /** Another instance answered at the target's address. */
  readonly onMisdirected: (expectedIncarnation: string) => void;
  /**
   * Congestion of the queue at this gate, one level for each importance: urgent calls overtake the
   * others and may be admitted without delay.
   */
  readonly queueLevels: readonly CongestionLevel[];
  readonly crashGuard: GateCrashGuard;
  /** The bottleneck that answers tell; undefined if none is told. */
  readonly bottlenecks?: PathBottlenecks | undefined;
  /** Whether lower ranks are refused at their first hop so that calls of this importance find room at the service. */
  readonly isFavoured?: (service: string, importance: Importance) => boolean;
  /** Tracks whether the target answers calls in time. */
  readonly runOutcomes: KindCircuitBreaker;
  /** Durations of calls in the target, by kind. */
  readonly kindPace: KindPaceTracker;
  /** Tracks the runs of the target that end without a usable answer. */
  readonly unservedRuns: UnservedRuns;
  /** Load that the target reports. */
  readonly targetLoad: TargetLoadTracker;
}

/** How an inbound call ended. */
export type InboundResult =
  | { readonly type: 'relayed' }
  | { readonly type: 'broken'; readonly verdict: Verdict }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** Called once with the result of a call. */
export type InboundListener = (result: InboundResult) => void;
