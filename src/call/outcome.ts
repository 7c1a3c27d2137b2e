/**
 * What the process beside a target tells its caller about a call: the verdict, the unspent retries, and how loaded it is.
 * Nodes tell it in the `shoredoor-outcome` response header, which is written and read here; sidecars in a frame, with the
 * fields besides that are marked so.
 *
 * Owns nothing. Relies on the link between shoredoor's own processes: a target's own header of this name is dropped.
 */
import { isVerdict, type Verdict } from '../common/verdict.js';
import { numberField, parseFields } from './call-context.js';
import type { RepeatRoom } from '../retry/repeat-room.js';
import { isRefusalReason, type RefusalReason } from './refusal.js';

/** Load of a node at the moment of an answer. */
export interface LoadReport {
  /** Calls inside the target and waiting for it. */
  readonly inFlight: number;
  /** Current concurrency limit of the node. */
  readonly limit: number;
  /** Which repeats the gate would let through to its target now. Reported by sidecars. Default: all. */
  readonly repeatRoom?: RepeatRoom;
}

/** What a gate says of crashes with a call that its target did not answer. */
export enum CrashNote {
  /** The target is down, and so is the endpoint until its next incarnation. */
  TargetDown = 'target-down',
  /** The same, and the request may be the cause: it is not to be sent to another target. */
  Suspect = 'suspect',
  /** The request is in quarantine: it was not begun, and no target is to get it. */
  Quarantined = 'quarantined',
}

/** The outcome of a call at the node that handled it. */
export interface Outcome {
  readonly verdict: Verdict;
  /** Set when the node answered itself. */
  readonly refusal: RefusalReason | undefined;
  /** Whether this call, or one made on its behalf, was refused for overload. */
  readonly overloaded: boolean;
  /** Part of the calls there and downstream that are congested, 0 to 1. Reported by sidecars. */
  readonly congestion?: number;
  /** Whether targets make the calls of this kind, and not clients. Reported by sidecars. Default false. */
  readonly nested?: boolean;
  /**
   * Whether the target itself turned the call away: it arrived there, so sending it to another target
   * counts as a retry. Reported by sidecars. Default false.
   */
  readonly rejectedByTarget?: boolean;
  /** Set where a crash of the target, or the fear of one, decided the call. Reported by sidecars. */
  readonly crashNote?: CrashNote;
  /** Retries given back to the caller. */
  readonly unspentRetries: number;
  readonly load: LoadReport | undefined;
}

/** The outcome of a call that the node refused before it began. */
export function unbegunOutcome(refusal: RefusalReason, unspentRetries: number): Outcome {
  return { verdict: 'not-run', refusal, overloaded: false, unspentRetries, load: undefined };
}

/** The value of the `shoredoor-outcome` header. */
export function formatOutcome(outcome: Outcome): string {
  let text = `verdict=${outcome.verdict}, unspent=${outcome.unspentRetries}`;
  if (outcome.refusal !== undefined) text += `, refusal=${outcome.refusal}`;
  if (outcome.overloaded) text += ', overloaded=1';
  if (outcome.load !== undefined) {
    text += `, in-flight=${outcome.load.inFlight}, limit=${outcome.load.limit}`;
  }
  return text;
}

/** Reads a `shoredoor-outcome` header; undefined when it is missing or malformed. */
export function parseOutcome(text: string | undefined): Outcome | undefined {
  if (text === undefined) return undefined;
  const fields = parseFields(text);
  const verdict = fields.get('verdict');
  if (!isVerdict(verdict)) return undefined;
  const refusal = fields.get('refusal');
  const inFlight = numberField(fields, 'in-flight');
  const limit = numberField(fields, 'limit');
  return {
    verdict,
    refusal: isRefusalReason(refusal) ? refusal : undefined,
    overloaded: fields.get('overloaded') === '1',
    unspentRetries: numberField(fields, 'unspent') ?? 0,
    load: inFlight !== undefined && limit !== undefined ? { inFlight, limit } : undefined,
  };
}
