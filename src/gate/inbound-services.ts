/**
 * What inbound calls work with, and how they end. Two shapes: {@link InboundServices} is all that the inbound side of
 * `shoredoor node` has, and {@link GateServices} is what the gate of a sidecar has besides.
 */
import type { AdmissionController } from '../admission/admission-controller.js';
import type { CongestionLevel } from '../admission/congestion-level.js';
import type { RunOutcomes } from '../admission/run-outcomes.js';
import type { Clock } from '../common/clock.js';
import type { Verdict } from '../common/verdict.js';
import type { KeyClaims } from '../dedup/claim.js';
import type { WatchedRun } from '../quarantine/crash-watch.js';
import type { KindLimitServices } from './kind-use.js';
import type { Refusal } from '../call/refusal.js';
import type { RetryBudgetServices } from './repeat-use.js';

/** What the calls to one target share. */
export interface InboundServices {
  readonly clock: Clock;
  readonly admission: AdmissionController;
  /** Whether the process is leaving and takes no new calls of this kind. */
  readonly isLeaving: (kind: string) => boolean;
  readonly claims: KeyClaims;
}

/** Tells crashes of the target from connections that break. */
interface GateCrashGuard {
  /** Whether the request is kept from targets. */
  isQuarantined(fingerprint: string): boolean;
  /** A request is about to be sent to the target. @returns undefined where crashes are not watched */
  begin(fingerprint: string): WatchedRun | undefined;
  /** Whether the target may have crashed because of the run. @param underWay requests it was at work on */
  isLikelyCause(run: WatchedRun, underWay: number): boolean;
}

/** What the calls of one sidecar's gate share. */
export interface GateServices extends InboundServices, KindLimitServices, RetryBudgetServices {
  /** Another instance answered at the target's address. */
  readonly onMisdirected: (expectedIncarnation: string) => void;
  /**
   * Learn of calls that wait long or are refused here, by importance: urgent calls pass the others and
   * may go on while those wait.
   */
  readonly queueLevels: readonly CongestionLevel[];
  readonly crashGuard: GateCrashGuard;
  /** Learns whether the target still answers. */
  readonly runOutcomes: RunOutcomes;
}

/** How an inbound call ended. */
export type InboundResult =
  | { readonly type: 'relayed' }
  | { readonly type: 'broken'; readonly verdict: Verdict }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** Hears the one result of a call. */
export type InboundListener = (result: InboundResult) => void;
