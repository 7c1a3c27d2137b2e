/**
 * The outcome of a call, as the node or the gate reports it to the caller: verdict, unspent retries and load. Nodes send it
 * in the `shoredoor-outcome` response header, which is formatted and parsed here; sidecars send it in a frame, with some
 * additional fields. A header of this name that is set by a target is dropped.
 */
import { isVerdict, type Verdict } from '../common/verdict.js';
import { numberField, parseFields } from './call-context.js';
import type { AcceptedRepeats } from '../retry/accepted-repeats.js';
import { isRefusalReason, type RefusalReason } from './refusal.js';

/** Load of a node when it sent the answer. */
export interface LoadReport {
  /** Number of calls that the target is processing or that wait for it. */
  readonly inFlight: number;
  /** Concurrency limit of the node. */
  readonly limit: number;
  /** Which repeats the gate currently admits. Only from sidecars. Default: all. */
  readonly repeatRoom?: AcceptedRepeats;
  /** Durations of calls of the answered kind at this target. Absent before enough calls, and from nodes. */
  readonly kindPace?: KindPace;
  /** Share of the runs at this target that end without a usable answer, 0 to 1. Absent if negligible, and from nodes. */
  readonly unservedShare?: number;
}

/** How long calls of one kind take in one target. */
export interface KindPace {
  /** Usual duration in milliseconds, with the target's own calls. */
  readonly usualMs: number;
  /** Duration of the longest recent calls in milliseconds; at least `usualMs`. */
  readonly longMs: number;
}

/** The most loaded service on the path of a call: the callee's own, or one that the callee's target calls for such calls. */
export interface Bottleneck {
  readonly service: string;
  /** Demand for that service as a multiple of its capacity, as it would be if no request were refused for it; above 1. */
  readonly pressure: number;
  /** Time for which one such call, with its nested calls, holds slots of that service, in milliseconds. Absent if not known. */
  readonly workMs?: number;
}

/** What a gate reports about a crash of its target when a call got no answer. */
export enum CrashNote {
  /** The target is down; the endpoint must not be used until its next incarnation. */
  TargetDown = 'target-down',
  /** The target is down, possibly because of this request, which must not be sent to another target. */
  Suspect = 'suspect',
  /** The request is in quarantine: it was not run and must not be sent to any target. */
  Quarantined = 'quarantined',
}

/** The outcome of a call, as reported by the node that handled it. */
export interface Outcome {
  readonly verdict: Verdict;
  /** Set if the node refused the call instead of forwarding an answer of the target. */
  readonly refusal: RefusalReason | undefined;
  /** Whether this call or one of its downstream calls was refused because of overload. */
  readonly overloaded: boolean;
  /** Fraction of the calls at this gate and downstream that are congested, 0 to 1. Only from sidecars. */
  readonly congestion?: number;
  /** Whether calls of this kind are made by targets rather than by clients. Only from sidecars. Default false. */
  readonly nested?: boolean;
  /**
   * Whether the target itself rejected the call. It has reached a target, so sending it to another one counts as a retry.
   * Only from sidecars. Default false.
   */
  readonly rejectedByTarget?: boolean;
  /** Set if the call got no answer because of a crash, or because of a quarantine. Only from sidecars. */
  readonly crashNote?: CrashNote;
  /**
   * Time after which the caller should send the next call of this priority to this gate, in milliseconds. Set if the target
   * announces a rate limit that leaves no room now.
   */
  readonly returnInMs?: number;
  /** Only from sidecars whose service, or one downstream, is under pressure. */
  readonly bottleneck?: Bottleneck;
  /** Retries returned to the caller. */
  readonly unspentRetries: number;
  readonly load: LoadReport | undefined;
}

/** Creates the outcome of a call that was refused before it started. */
export function notStartedOutcome(refusal: RefusalReason, unspentRetries: number): Outcome {
  return { verdict: 'not-run', refusal, overloaded: false, unspentRetries, load: undefined };
}

/** Formats the `shoredoor-outcome` header. */
export function formatOutcome(outcome: Outcome): string {
  let text = `verdict=${outcome.verdict}, unspent=${outcome.unspentRetries}`;
  if (outcome.refusal !== undefined) text += `, refusal=${outcome.refusal}`;
  if (outcome.overloaded) text += ', overloaded=1';
  if (outcome.returnInMs !== undefined) text += `, return-in-ms=${Math.ceil(outcome.returnInMs)}`;
  if (outcome.load !== undefined) {
    text += `, in-flight=${outcome.load.inFlight}, limit=${outcome.load.limit}`;
  }
  return text;
}

/** Parses a `shoredoor-outcome` header; returns undefined if it is missing or malformed. */
export function parseOutcome(text: string | undefined): Outcome | undefined {
  if (text === undefined) return undefined;
  const fields = parseFields(text);
  const verdict = fields.get('verdict');
  if (!isVerdict(verdict)) return undefined;
  const refusal = fields.get('refusal');
  const inFlight = numberField(fields, 'in-flight');
  const limit = numberField(fields, 'limit');
  const returnInMs = numberField(fields, 'return-in-ms');
  return {
    verdict,
    refusal: isRefusalReason(refusal) ? refusal : undefined,
    overloaded: fields.get('overloaded') === '1',
    unspentRetries: numberField(fields, 'unspent') ?? 0,
    ...(returnInMs !== undefined && { returnInMs }),
    load: inFlight !== undefined && limit !== undefined ? { inFlight, limit } : undefined,
  };
}
