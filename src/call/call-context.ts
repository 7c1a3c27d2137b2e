/**
 * Who a call belongs to and what it may still do. Made where a request enters, carried between shoredoor's own processes,
 * and kept beside the target while that works on the call, so that the target cannot change it. Between edges and nodes it
 * is one header, which is written and read here; between sidecars it is part of a frame (`link/frame-context.ts`).
 *
 * Owns the names of shoredoor's own headers. Relies on the link token: a context from elsewhere is never read.
 */
import { parseImportance, type Importance } from '../policy/importance.js';

/**
 * The identity and the limits of one call at one process, on both data paths. An edge, or a node for calls without a context,
 * makes it from the policy's kinds; an ingress makes it from routes.
 */
interface CommonCallFields {
  /**
   * Names the request in logs, one for all its attempts. On the path of edge and node: 32 hexadecimal digits, the trace id
   * of the W3C trace context, made by the edge. In a sidecar: as the client named it, in a header that may be empty.
   */
  readonly requestId: string;
  /**
   * Name of the group whose key the outside caller presented. Where none was needed `default` at an ingress, and for calls
   * without a context `unattributed` at a node.
   */
  readonly group: string;
  /**
   * On the path of edge and node: name of the policy's kind that the outside request matched. In a sidecar: name of the
   * route that the call matched at its ingress, with characters replaced that a header may not hold. Counters, log lines and
   * the limits of a gate go by it.
   */
  readonly kind: string;
  /** Order in which calls wait at a gate, the highest first. Set from the kind, or from the rank of the route. */
  readonly importance: Importance;
  /** Local monotonic time in milliseconds after which an answer is of no use. Set where the context is made. */
  readonly deadlineAt: number;
  /** Retries lent to this call, for itself and everything below it. A number of attempts. */
  readonly retries: number;
}

/** What only the ingress and the gate of a sidecar set and read. Absent on the path of edge and node. */
interface SidecarCallFields {
  /** Service that runs the call. Set by the ingress, which draws it from the route's backends. */
  readonly service?: string | undefined;
  /**
   * Local monotonic time in milliseconds until which it may wait to be let in; no bound if absent. Set by the ingress, as a
   * part of the objective.
   */
  readonly waitUntil?: number | undefined;
  /** Time in milliseconds within which an answer is worth its full credit. Set by the ingress, from the route. */
  readonly objectiveMs?: number | undefined;
  /**
   * Time in milliseconds that the client has used up in earlier attempts of its own, as far as can be told. Set by the
   * ingress. Default 0.
   */
  readonly clientWaitedMs?: number | undefined;
  /** Whether an earlier attempt of the call may have arrived at a target. Set by the gate, from its caller. Default false. */
  readonly isRepeat?: boolean | undefined;
  /** How likely a run that was itself a repeat has made the call, 0 to 1. Set by the ingress. Default 0. */
  readonly inheritedShare?: number | undefined;
  /** Names the request whenever it comes again; set by the ingress once the body is read. Empty or absent before. */
  readonly fingerprint?: string | undefined;
  /**
   * Rank of the group, 0 the most urgent; comes before the importance, which counts the other way. Set by the ingress, from
   * the declared group. Default 0.
   */
  readonly groupRank?: number | undefined;
}

/** A call at one process. */
export interface CallContext extends CommonCallFields, SidecarCallFields {
  /**
   * Time in milliseconds before the deadline at which the target is to stop, so that its own answer arrives. Set by
   * {@link boundedByStop} in a process that stops; an edge sets it too, and only gates of sidecars read it. Default 0.
   */
  readonly answerMarginMs?: number | undefined;
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

/** Fields of a header that are read; this version writes seven at most. Bounds the work on a foreign one. */
const MAX_FIELD_COUNT = 12;
/** Names of groups, kinds and services that a header can hold. */
const NAME_SYNTAX = /^[A-Za-z0-9][\w.-]{0,199}$/;
/** Longest such name, in characters; as in {@link NAME_SYNTAX}. */
const MAX_NAME_LENGTH = 200;
/** Whole numbers of at most nine digits: 11 days in milliseconds. */
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

/** A name with every character replaced that {@link CONTEXT_HEADER} can't hold. */
export function headerSafeName(name: string): string {
  const safe = name.replace(/[^\w.-]/g, '_');
  return NAME_SYNTAX.test(safe) ? safe : `x${safe}`.slice(0, MAX_NAME_LENGTH);
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
