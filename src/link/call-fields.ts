/**
 * The fields of a call.
 *
 * For: `frame-codec.ts`. Owns: the order of the fields and of the texts of a head, and what an absent field means.
 * Relies on: times that `frame-context.ts` has turned into what remains of them.
 */
import type { CallFrame } from './link-frames.js';
import { FrameCode } from './frame-code.js';
import { toBuffer, fromPercent, joinStrings, splitStrings, toPercent } from './frame-fields.js';

/** How the body of a call arrives. The numbers are on the wire. */
enum BodyForm {
  None,
  /** In the frame of the call itself. */
  Whole,
  /** In frames of its own. */
  Stream,
}

/** In this order on the wire; a new field goes to the end. */
export type CallFields = [
  code: FrameCode.Call,
  id: number,
  /** The texts of a head, see {@link CallHeadStrings}. */
  texts: string,
  importance: number,
  deadlineMs: number,
  waitMs: number,
  objectiveMs: number,
  retries: number,
  isRepeat: boolean,
  inheritedPercent: number,
  form: BodyForm,
  body: unknown,
  /** Absent in frames of processes that do not know it. */
  answerMarginMs?: number,
  /** Absent in frames of processes that do not know it. */
  fingerprint?: string,
  /** Absent in frames of processes that do not know it. */
  groupRank?: number,
  /** Absent where it is 0, and in frames of processes that do not know it. */
  clientWaitedMs?: number,
];

/** The texts of a call's head, in this order on the wire. */
type CallHeadStrings = [
  requestId: string,
  kind: string,
  service: string,
  method: string,
  path: string,
  /** Names and values, alternating. */
  ...headers: string[],
];

/** The fields of a call. */
export function toCallFields(frame: CallFrame): CallFields {
  const { id, context, method, path, headers, body } = frame;
  const { requestId, kind, service } = context;
  const fields: CallFields = [
    FrameCode.Call,
    id,
    joinStrings([requestId, kind, service, method, path, ...headers]),
    context.importance,
    context.deadlineMs,
    context.waitMs,
    context.objectiveMs,
    context.retries,
    context.isRepeat,
    toPercent(context.inheritedShare),
    getBodyForm(body),
    body ?? null,
    context.answerMarginMs,
    context.fingerprint,
    context.groupRank,
  ];
  if (context.clientWaitedMs > 0) fields.push(context.clientWaitedMs);
  return fields;
}

/** The call with these fields. */
export function fromCallFields(fields: CallFields): CallFrame {
  const [
    ,
    id,
    texts,
    importance,
    deadlineMs,
    waitMs,
    objectiveMs,
    retries,
    isRepeat,
    inheritedPercent,
    form,
    body,
    answerMarginMs = 0,
    fingerprint = '',
    groupRank = 0,
    clientWaitedMs,
  ] = fields;
  const [requestId, kind, service, method, path, ...headers] = splitStrings(
    texts,
  ) as CallHeadStrings;
  const frame: CallFrame = {
    type: 'call',
    id,
    context: {
      requestId,
      kind,
      service,
      importance,
      deadlineMs,
      waitMs,
      objectiveMs,
      retries,
      isRepeat,
      inheritedShare: fromPercent(inheritedPercent),
      answerMarginMs,
      fingerprint,
      groupRank,
      clientWaitedMs: typeof clientWaitedMs === 'number' ? clientWaitedMs : 0,
    },
    method,
    path,
    headers,
  };
  if (form === BodyForm.Stream) return frame;
  return { ...frame, body: form === BodyForm.None ? null : toBuffer(body) };
}

function getBodyForm(body: CallFrame['body']): BodyForm {
  if (body === undefined) return BodyForm.Stream;
  return body === null ? BodyForm.None : BodyForm.Whole;
}
