/**
 * An outcome among the fields of an answer, a head or a refusal.
 *
 * For: `answer-fields.ts` and the refusal in `frame-codec.ts`. Owns: the order of the fields and what an absent one
 * means. Relies on: the values of `Verdict`, `RefusalReason` and `RepeatRoom`, which travel as they are.
 */
import type { CrashNote, Outcome } from '../call/outcome.js';
import type { RefusalReason } from '../call/refusal.js';
import type { Verdict } from '../common/verdict.js';
import { RepeatRoom } from '../retry/repeat-room.js';

/** In this order on the wire; a new field goes to the end. */
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
  repeatRoom: RepeatRoom,
  /** Absent in frames of processes that do not know it. */
  crashNote?: CrashNote | null,
];

/** The fields of an outcome. */
export function toOutcomeFields(outcome: Outcome): OutcomeFields {
  const { verdict, refusal, overloaded, nested, unspentRetries, load, congestion } = outcome;
  const isRejectedByTarget = outcome.rejectedByTarget === true;
  return [
    verdict,
    refusal ?? null,
    overloaded,
    nested === true,
    unspentRetries,
    load?.inFlight ?? null,
    load?.limit ?? null,
    congestion ?? null,
    isRejectedByTarget,
    load?.repeatRoom ?? RepeatRoom.Runs,
    outcome.crashNote ?? null,
  ];
}

/** The outcome with these fields. */
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
  };
}
