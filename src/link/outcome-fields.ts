/** Encoding of an outcome inside response, head and refusal frames. Enum and string values are sent unchanged. */
import type { Bottleneck, CrashNote, KindPace, Outcome } from '../call/outcome.js';
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
  /** Absent or null if there is none; absent if the sender's version does not support it. The following ones likewise. */
  returnInMs?: number | null,
  /** Usual and longest recent duration of the kind at the target, in milliseconds. */
  kindPace?: [usualMs: number, longMs: number] | null,
  bottleneck?: [service: string, pressure: number, workMs?: number] | null,
  /** Share of the runs at the target that end without a usable answer, 0 to 1. */
  unservedShare?: number | null,
];

/** Number of fields that every version sends. */
const COMMON_FIELDS = 11;

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
  appendOptionalFields(fields, outcome);
  return fields;
}

/** Appends the optional fields up to the last one that is present. */
function appendOptionalFields(fields: OutcomeFields, outcome: Outcome): void {
  const { returnInMs, load, bottleneck } = outcome;
  const pace = load?.kindPace;
  fields.push(
    returnInMs === undefined ? null : Math.ceil(returnInMs),
    pace === undefined ? null : [Math.round(pace.usualMs), Math.round(pace.longMs)],
    bottleneck === undefined ? null : fromBottleneck(bottleneck),
    load?.unservedShare ?? null,
  );
  while (fields.length > COMMON_FIELDS && fields.at(-1) === null) fields.pop();
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
    kindPace,
    bottleneck,
    unservedShare,
  ] = fields;
  return {
    verdict,
    refusal: refusal ?? undefined,
    overloaded,
    nested,
    unspentRetries,
    load:
      inFlight === null || limit === null
        ? undefined
        : {
            inFlight,
            limit,
            repeatRoom,
            ...(isPair(kindPace) && { kindPace: toKindPace(kindPace) }),
            ...(typeof unservedShare === 'number' && { unservedShare }),
          },
    ...(congestion !== null && { congestion }),
    ...(rejectedByTarget && { rejectedByTarget }),
    ...(typeof crashNote === 'string' && { crashNote }),
    ...(typeof returnInMs === 'number' && { returnInMs }),
    ...(isBottleneck(bottleneck) && { bottleneck: toBottleneck(bottleneck) }),
  };
}

function isPair<Pair extends unknown[]>(field: Pair | null | undefined): field is Pair {
  return Array.isArray(field);
}

/** A malformed field is ignored: its pressure would stay in averages. */
function isBottleneck(
  field: [string, number, number?] | null | undefined,
): field is [string, number, number?] {
  if (!isPair(field)) return false;
  const [service, pressure, workMs = 0] = field;
  return typeof service === 'string' && Number.isFinite(pressure) && Number.isFinite(workMs);
}

function toKindPace([usualMs, longMs]: [number, number]): KindPace {
  return { usualMs, longMs };
}

function fromBottleneck({ service, pressure, workMs }: Bottleneck): [string, number, number?] {
  return workMs === undefined ? [service, pressure] : [service, pressure, Math.round(workMs)];
}

function toBottleneck([service, pressure, workMs]: [string, number, number?]): Bottleneck {
  return { service, pressure, ...(typeof workMs === 'number' && { workMs }) };
}
