/**
 * Who a call belongs to and what it may still do. Minted at the edge, carried between shoredoor's
 * own processes in one header, and kept at the node while the target works on the call, so that the
 * target cannot change it.
 */
import { parseImportance, type Importance } from '../policy/importance.js';

/** The identity and the limits of one call at one process. */
export interface CallContext {
  /** 32 hexadecimal digits, the trace id of the W3C trace context. One per outside request. */
  readonly requestId: string;
  readonly group: string;
  /** Name of the kind of the outside request. */
  readonly kind: string;
  readonly importance: Importance;
  /** Local monotonic time in milliseconds after which an answer is of no use. */
  readonly deadlineAt: number;
  /** Retries lent to this call, for itself and everything below it. */
  readonly retries: number;
  /** Service that the call was routed to, where a route decided it. */
  readonly service?: string | undefined;
  /** Local monotonic time in milliseconds until which it may wait to be let in; no bound if absent. */
  readonly waitUntil?: number | undefined;
  /** Time in milliseconds within which an answer is worth its full credit, where a route says it. */
  readonly objectiveMs?: number | undefined;
  /** Whether an earlier attempt of the call may have arrived at a target. Default false. */
  readonly isRepeat?: boolean | undefined;
  /** How likely a run that was itself a repeat has made the call, 0 to 1. Default 0. */
  readonly inheritedShare?: number | undefined;
  /** Time in milliseconds before the deadline at which the target is to stop, so that its own answer arrives. Default 0. */
  readonly answerMarginMs?: number | undefined;
  /** Names the request whenever it comes again; empty or absent where it is not known. */
  readonly fingerprint?: string | undefined;
  /** Rank of the group, 0 the most urgent; comes before the importance of the kind. Default 0. */
  readonly groupRank?: number | undefined;
}

/** Request header between shoredoor processes: identity, remaining time and retries. */
export const CONTEXT_HEADER = 'shoredoor-context';
/** Request header that proves that the sender is a shoredoor process of this deployment. */
export const LINK_HEADER = 'shoredoor-link';
/** Request header to targets: milliseconds left until the deadline. */
export const DEADLINE_HEADER = 'shoredoor-deadline-ms';
/** Response header between shoredoor processes: verdict, unspent retries, load. */
export const OUTCOME_HEADER = 'shoredoor-outcome';
/** Response header to callers: whether the request may have run. */
export const VERDICT_HEADER = 'shoredoor-verdict';
/** Response header to callers: the request id, for logs and support. */
export const REQUEST_ID_HEADER = 'shoredoor-request-id';

const MAX_FIELD_COUNT = 12;
const NAME_SYNTAX = /^[A-Za-z0-9][\w.-]{0,199}$/;
const NUMBER_SYNTAX = /^\d{1,9}$/;

/**
 * Splits `a=1, b=x` into its fields. A subset of the dictionaries of RFC 8941 in which every value
 * is a token or a whole number.
 */
export function parseFields(text: string): Map<string, string> {
  const fields = new Map<string, string>();
  for (const part of text.split(',', MAX_FIELD_COUNT)) {
    const separator = part.indexOf('=');
    if (separator > 0)
      fields.set(part.slice(0, separator).trim(), part.slice(separator + 1).trim());
  }
  return fields;
}

/** The whole number in a field, or undefined when it is missing or malformed. */
export function numberField(fields: Map<string, string>, name: string): number | undefined {
  const text = fields.get(name);
  if (text === undefined || !NUMBER_SYNTAX.test(text)) return undefined;
  return Number(text);
}

/** The value of {@link CONTEXT_HEADER} for a call; the deadline travels as time remaining. */
export function formatContext(context: CallContext, now: number): string {
  const remainingMs = Math.max(0, Math.floor(context.deadlineAt - now));
  let text =
    `group=${context.group}, kind=${context.kind}, importance=${context.importance}, ` +
    `deadline=${remainingMs}, retries=${context.retries}`;
  if (context.service !== undefined) text += `, service=${context.service}`;
  if (context.waitUntil !== undefined) {
    text += `, wait=${Math.max(0, Math.floor(context.waitUntil - now))}`;
  }
  return text;
}

/** A name as it can stand in {@link CONTEXT_HEADER}. */
export function contextName(name: string): string {
  const safe = name.replace(/[^\w.-]/g, '_');
  return NAME_SYNTAX.test(safe) ? safe : `x${safe}`.slice(0, 200);
}

/**
 * Reads {@link CONTEXT_HEADER}. Only for requests whose {@link LINK_HEADER} is right.
 * @returns undefined when any field is missing or malformed
 */
export function parseContext(
  text: string,
  requestId: string,
  now: number,
): CallContext | undefined {
  const fields = parseFields(text);
  const group = fields.get('group');
  const kind = fields.get('kind');
  const importance = parseImportance(fields.get('importance') ?? '');
  const remainingMs = numberField(fields, 'deadline');
  const retries = numberField(fields, 'retries');
  if (group === undefined || !NAME_SYNTAX.test(group)) return undefined;
  if (kind === undefined || !NAME_SYNTAX.test(kind)) return undefined;
  if (importance === undefined || remainingMs === undefined || retries === undefined) {
    return undefined;
  }
  const service = fields.get('service');
  const waitMs = numberField(fields, 'wait');
  const deadlineAt = now + remainingMs;
  return {
    requestId,
    group,
    kind,
    importance,
    deadlineAt,
    retries,
    ...(service !== undefined && { service }),
    ...(waitMs !== undefined && { waitUntil: now + waitMs }),
  };
}
