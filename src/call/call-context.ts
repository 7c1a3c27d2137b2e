/**
 * The context of a call: request id, group, kind, importance, deadline and remaining retries. It is created where a request
 * enters and forwarded between shoredoor processes; targets never see it. Edges and nodes send it in the
 * `shoredoor-context` header, which is formatted and parsed here; sidecars send it in a frame (`link/frame-context.ts`).
 * Also defines the names of all shoredoor headers.
 */
import { parseImportance, type Importance } from '../policy/importance.js';

/**
 * Fields that are set on both data paths. An edge, or a node for calls without a context, derives them from the kinds of the
 * policy; an ingress derives them from its routes.
 */
interface CommonCallFields {
  /**
   * Identifies the request in logs; the same for all its attempts. At edges and nodes: the W3C trace id that the edge
   * generates, 32 hexadecimal digits. In sidecars: the value of a client's header; may be empty.
   */
  readonly requestId: string;
  /**
   * Name of the group whose API key the client presented. Without a key: `default` at an ingress; `unattributed` at a node,
   * for calls without a context.
   */
  readonly group: string;
  /**
   * At edges and nodes: the kind of the policy that the client's request matched. In sidecars: the route that the call
   * matched at its ingress, as a {@link headerSafeName}. Metrics, log lines and the limits of a gate are per kind.
   */
  readonly kind: string;
  /** Order in the queue of a gate, highest first. Set from the kind, or from the rank of the route. */
  readonly importance: Importance;
  /** Local monotonic time in milliseconds after which the caller no longer needs an answer. */
  readonly deadlineAt: number;
  /** Number of retries that this call and all its downstream calls may use. */
  readonly retries: number;
}

/** Fields that only the ingress and the gate of a sidecar use. Absent at edges and nodes. */
interface SidecarCallFields {
  /** Service that the call is sent to. The ingress picks it from the backends of the route. */
  readonly service?: string | undefined;
  /**
   * Local monotonic time in milliseconds until which the call may wait in the queue of a gate; unlimited if absent. Set by
   * the ingress, as a fraction of the objective.
   */
  readonly waitUntil?: number | undefined;
  /** Latency objective of the route, in milliseconds. Set by the ingress. */
  readonly objectiveMs?: number | undefined;
  /** Estimated time in milliseconds that the client has spent on earlier attempts. Set by the ingress. Default 0. */
  readonly clientWaitedMs?: number | undefined;
  /** Whether an earlier attempt may have reached a target, as the caller reports. Set by the gate. Default false. */
  readonly isRepeat?: boolean | undefined;
  /** Probability, 0 to 1, that the run that made this call was itself a repeat. Set by the ingress. Default 0. */
  readonly inheritedShare?: number | undefined;
  /** Whether the caller can send the call to another target with room. Set by the gate. Default false. */
  readonly isReroutable?: boolean | undefined;
  /** Digest that is the same for every retry of the request. Set by the ingress once it has read the body. */
  readonly fingerprint?: string | undefined;
  /**
   * Rank of the group, 0 being the most urgent; takes precedence over {@link CallContext.importance}, whose highest
   * value is the most urgent. Set by the ingress. Default 0.
   */
  readonly groupRank?: number | undefined;
}

/** The context of a call within one process. Times are on the monotonic clock of that process. */
export interface CallContext extends CommonCallFields, SidecarCallFields {
  /**
   * The target is given this much less time than the deadline leaves, in milliseconds, so that its answer arrives in
   * time. Set by {@link limitDeadlineToStop}, read by the gates of sidecars. Default 0.
   */
  readonly answerMarginMs?: number | undefined;
}

/** Request header between shoredoor processes: the call context. */
export const CONTEXT_HEADER = 'shoredoor-context';
/** Request header between shoredoor processes: the link token, which authenticates the sender. */
export const LINK_HEADER = 'shoredoor-link';
/** Request header to targets: milliseconds until the deadline. */
export const DEADLINE_HEADER = 'shoredoor-deadline-ms';
/** Response header between shoredoor processes: verdict, unspent retries, load. */
export const OUTCOME_HEADER = 'shoredoor-outcome';
/** Response header to callers: whether the request may have run. */
export const VERDICT_HEADER = 'shoredoor-verdict';
/** Response header to callers: the request id. */
export const REQUEST_ID_HEADER = 'shoredoor-request-id';

/** Maximum number of fields that are parsed, to bound the work on a malformed header. This version writes at most seven. */
const MAX_FIELD_COUNT = 12;
/** Names of groups, kinds and services that are allowed in {@link CONTEXT_HEADER}. */
const NAME_SYNTAX = /^[A-Za-z0-9][\w.-]{0,199}$/;
/** Maximum length of such a name, in characters; the same as in {@link NAME_SYNTAX}. */
const MAX_NAME_LENGTH = 200;
/** Integers of at most nine digits: about 11 days in milliseconds. */
const NUMBER_SYNTAX = /^\d{1,9}$/;

/** Parses `a=1, b=x` into its fields: a subset of the RFC 8941 dictionary whose values are tokens and integers. */
export function parseFields(text: string): Map<string, string> {
  const fields = new Map<string, string>();
  for (const part of text.split(',', MAX_FIELD_COUNT)) {
    const separator = part.indexOf('=');
    if (separator > 0)
      fields.set(part.slice(0, separator).trim(), part.slice(separator + 1).trim());
  }
  return fields;
}

/** Returns the integer in a field, or undefined if it is missing or malformed. */
export function numberField(fields: Map<string, string>, name: string): number | undefined {
  const text = fields.get(name);
  if (text === undefined || !NUMBER_SYNTAX.test(text)) return undefined;
  return Number(text);
}

/** Formats {@link CONTEXT_HEADER}. Points in time are sent as remaining milliseconds. */
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

/** Replaces the characters of a name that are not allowed in {@link CONTEXT_HEADER}. */
export function headerSafeName(name: string): string {
  const safe = name.replace(/[^\w.-]/g, '_');
  return NAME_SYNTAX.test(safe) ? safe : `x${safe}`.slice(0, MAX_NAME_LENGTH);
}

/**
 * Parses {@link CONTEXT_HEADER}. Call it only for requests whose {@link LINK_HEADER} is valid.
 * @returns undefined if a required field is missing or malformed
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
