/** Encoding of call frames. */
import type { CallFrame } from './link-frames.js';
import { FrameCode } from './frame-code.js';
import { toBuffer, fromPercent, joinStrings, splitStrings, toPercent } from './frame-fields.js';

/** How the body of a call is sent. The numeric values are part of the wire format. */
enum BodyForm {
  None,
  /** Included in the call frame. */
  Whole,
  /** Sent in data frames that follow the call frame. */
  Stream,
}

/** Fields of a call, in wire order. New fields must be appended. */
export type CallFields = [
  code: FrameCode.Call,
  id: number,
  /** The joined {@link CallHeadStrings}. */
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
  /** Absent if the sender's version does not support it. */
  answerMarginMs?: number,
  /** Absent if the sender's version does not support it. */
  fingerprint?: string,
  /** Absent if the sender's version does not support it. */
  groupRank?: number,
  /** Absent if it is 0 or if the sender's version does not support it. */
  clientWaitedMs?: number,
  /** Absent if it is false or if the sender's version does not support it. */
  isReroutable?: boolean,
];

/** The strings of a call's head, in wire order. */
type CallHeadStrings = [
  requestId: string,
  kind: string,
  service: string,
  method: string,
  path: string,
  /** Alternating names and values. */
  ...headers: string[],
];

/** Encodes a call. */
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
  if (context.isReroutable) fields.push(context.clientWaitedMs, true);
  else if (context.clientWaitedMs > 0) fields.push(context.clientWaitedMs);
  return fields;
}

/** Decodes a call. Optional fields that are absent get their neutral value. */
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
    isReroutable,
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
      isReroutable: isReroutable === true,
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
