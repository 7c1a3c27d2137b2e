/** Encoding of an outcome inside response, head and refusal frames. Enum and string values are sent unchanged. */
import type { CrashNote, Outcome } from '../call/outcome.js';
import type { RefusalReason } from '../call/refusal.js';
import type { Verdict } from '../common/verdict.js';
import { AcceptedRepeats } from '../retry/accepted-repeats.js';

/** Fields of an outcome, in wire order. New fields must be appended. */
export type OutcomeFields = [
  verdict: Verdict,
  refusal: RefusalReason | null,
  overloaded: boolean,
  nested: boolean,
  unspentRetries: number,
  inFlight: number | null,
  limit: number | null,
  congestion: number | null,
  rejectedByTarget: boolean,
  repeatRoom: AcceptedRepeats,
  /** Absent if the sender's version does not support it. */
  crashNote?: CrashNote | null,
  /** Absent if there is none or if the sender's version does not support it. */
  returnInMs?: number,
];

/** Encodes an outcome. */
export function toOutcomeFields(outcome: Outcome): OutcomeFields {
  const { verdict, refusal, overloaded, nested, unspentRetries, load, congestion } = outcome;
  const isRejectedByTarget = outcome.rejectedByTarget === true;
  const fields: OutcomeFields = [
    verdict,
    refusal ?? null,
    overloaded,
    nested === true,
    unspentRetries,
    load?.inFlight ?? null,
    load?.limit ?? null,
    congestion ?? null,
    isRejectedByTarget,
    load?.repeatRoom ?? AcceptedRepeats.Runs,
    outcome.crashNote ?? null,
  ];
  if (outcome.returnInMs !== undefined) fields.push(Math.ceil(outcome.returnInMs));
  return fields;
}

/** Decodes an outcome. */
export function fromOutcomeFields(fields: OutcomeFields): Outcome {
  const [
    verdict,
    refusal,
    overloaded,
    nested,
    unspentRetries,
    inFlight,
    limit,
    congestion,
    rejectedByTarget,
    repeatRoom,
    crashNote,
    returnInMs,
  ] = fields;
  return {
    verdict,
    refusal: refusal ?? undefined,
    overloaded,
    nested,
    unspentRetries,
    load: inFlight === null || limit === null ? undefined : { inFlight, limit, repeatRoom },
    ...(congestion !== null && { congestion }),
    ...(rejectedByTarget && { rejectedByTarget }),
    ...(typeof crashNote === 'string' && { crashNote }),
    ...(typeof returnInMs === 'number' && { returnInMs }),
  };
}
