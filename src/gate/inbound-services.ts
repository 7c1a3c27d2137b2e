/** What an inbound call works with, and how it ends. */
import type { AdmissionController } from '../admission/admission-controller.js';
import type { CongestionLevel } from '../admission/congestion-level.js';
import type { Clock } from '../common/clock.js';
import type { Verdict } from '../common/verdict.js';
import type { KeyClaims } from '../dedup/claim.js';
import type { CrashGuard } from '../quarantine/crash-guard.js';
import type { KindServices } from './kind-use.js';
import type { Refusal } from '../call/refusal.js';
import type { RepeatServices } from './repeat-use.js';

/** What the calls of one node share. */
export interface InboundServices extends KindServices, RepeatServices {
  readonly clock: Clock;
  readonly admission: AdmissionController;
  /** Whether the node is leaving and takes no new calls of this kind. */
  readonly isLeaving: (kind: string) => boolean;
  readonly claims: KeyClaims;
  /** Another instance answered at the target's address. */
  readonly onMisdirected?: (expectedIncarnation: string) => void;
  /**
   * Learn of calls that wait long or are refused here, by importance: urgent calls pass the others and
   * may go on while those wait.
   */
  readonly queueLevels?: readonly CongestionLevel[];
  /** Tells crashes of the target from connections that break. */
  readonly crashGuard?: CrashGuard;
}

/** What a gate knows of a call besides its context. */
export interface InboundCallOptions {
  /** Whether the call is one that a target makes. */
  readonly nested?: boolean;
  /** A call that waits longer than this to be let in reports overload, in milliseconds. */
  readonly congestedAfterMs?: number;
}

/** How a call through a node ended. */
export type InboundResult =
  | { readonly type: 'relayed' }
  | { readonly type: 'broken'; readonly verdict: Verdict }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** Hears the one result of a call. */
export type InboundListener = (result: InboundResult) => void;
