/**
 * The bytes of the frames between sidecars: a msgpack array behind its length as a 32-bit big-endian
 * number. Fields stand in a fixed order, and all texts of a head are one text of lines: names of fields
 * and many short texts cost more processor time than all else about a frame (docs/design/platform.md).
 */
import { Packr } from 'msgpackr';
import type { CrashNote, Outcome } from '../call/outcome.js';
import type { Verdict } from '../common/verdict.js';
import type { RefusalReason } from '../call/refusal.js';
import type { RawHeaders } from '../http/header-filter.js';
import { RepeatRoom } from '../retry/repeat-room.js';
import type { CallFrame, LinkFrame } from './link-frames.js';

/** The first field of every frame. */
enum FrameCode {
  Hello,
  Call,
  Answer,
  Head,
  Refused,
  Data,
  End,
  Broken,
  Cancel,
  Taken,
  Ping,
  Pong,
}

/** How the body of a call arrives. */
enum BodyForm {
  None,
  /** In the frame of the call itself. */
  Whole,
  /** In frames of its own. */
  Stream,
}

type OutcomeFields = [
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

/** The fields of a call behind its lines. */
type CallNumbers = [
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
];

/** The last fields of a call. */
type BodyFields = [
  form: BodyForm,
  body: unknown,
  answerMarginMs?: number,
  fingerprint?: string,
  groupRank?: number,
];

/** Place of the form of the body among the numbers of a call. */
const BODY_FORM_FIELD = 7;
/** Place of the lines among the fields of a call. */
const CALL_LINES_FIELD = 2;
/** Shares travel as whole hundredths: one byte in place of nine. */
const PERCENT = 100;
/** Place of the congestion among the fields of an outcome. */
const CONGESTION_FIELD = 7;
/** Texts that stand before the headers in a call's lines. */
const CALL_TEXTS = 5;
/** No text of a head can contain it (RFC 9112, section 2.2). */
const LINE_END = '\n';

const LENGTH_BYTES = 4;
const MAX_FRAME_BYTES = 16 * 1024 * 1024;
const packr = new Packr({ useRecords: false });

/** A frame as it is sent. */
export function encodeFrame(frame: LinkFrame): Buffer {
  const payload = packr.pack(toFields(frame));
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  bytes.writeUInt32BE(payload.length, 0);
  payload.copy(bytes, LENGTH_BYTES);
  return bytes;
}

/** Cuts what arrives into frames. */
export class FrameReader {
  private rest: Buffer = Buffer.alloc(0);

  /**
   * The frames that are whole with these bytes.
   * @throws when a frame is larger than any that is sent, not msgpack, or of no known kind
   */
  read(bytes: Buffer): LinkFrame[] {
    const buffer = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const frames: LinkFrame[] = [];
    let offset = 0;
    while (buffer.length - offset >= LENGTH_BYTES) {
      const length = buffer.readUInt32BE(offset);
      if (length > MAX_FRAME_BYTES) throw new RangeError('a frame is too large');
      const end = offset + LENGTH_BYTES + length;
      if (buffer.length < end) break;
      const fields = packr.unpack(buffer.subarray(offset + LENGTH_BYTES, end)) as unknown[];
      frames.push(fromFields(fields));
      offset = end;
    }
    this.rest = buffer.subarray(offset);
    return frames;
  }
}

function toFields(frame: LinkFrame): unknown[] {
  switch (frame.type) {
    case 'hello':
      return [FrameCode.Hello, frame.token];
    case 'call':
      return callFields(frame);
    case 'answer':
      return [
        FrameCode.Answer,
        frame.id,
        frame.status,
        frame.headers.join(LINE_END),
        outcomeFields(frame.outcome),
        frame.body,
      ];
    case 'head':
      return [
        FrameCode.Head,
        frame.id,
        frame.status,
        frame.headers.join(LINE_END),
        outcomeFields(frame.outcome),
      ];
    case 'refused':
      return [FrameCode.Refused, frame.id, outcomeFields(frame.outcome)];
    case 'data':
      return [FrameCode.Data, frame.id, frame.bytes];
    case 'end':
      return [FrameCode.End, frame.id];
    case 'broken':
      return [FrameCode.Broken, frame.id];
    case 'cancel':
      return [FrameCode.Cancel, frame.id];
    case 'taken':
      return [FrameCode.Taken, frame.id, frame.bytes];
    case 'ping':
      return [FrameCode.Ping];
    case 'pong':
      return [FrameCode.Pong];
  }
}

/** @throws RangeError when the frame is of no known kind */
function fromFields(fields: unknown[]): LinkFrame {
  const [code, id] = fields as [FrameCode, number];
  switch (code) {
    case FrameCode.Hello:
      return { type: 'hello', token: fields[1] as string };
    case FrameCode.Call:
      return callOf(id, fields);
    case FrameCode.Answer:
      return { type: 'answer', ...headOf(id, fields), body: bytesOf(fields[5]) };
    case FrameCode.Head:
      return { type: 'head', ...headOf(id, fields) };
    case FrameCode.Refused:
      return { type: 'refused', id, outcome: outcomeOf(fields[2] as OutcomeFields) };
    case FrameCode.Data:
      return { type: 'data', id, bytes: bytesOf(fields[2]) };
    case FrameCode.End:
      return { type: 'end', id };
    case FrameCode.Broken:
      return { type: 'broken', id };
    case FrameCode.Cancel:
      return { type: 'cancel', id };
    case FrameCode.Taken:
      return { type: 'taken', id, bytes: fields[2] as number };
    case FrameCode.Ping:
      return { type: 'ping' };
    case FrameCode.Pong:
      return { type: 'pong' };
  }
  throw new RangeError('a frame is of no known kind');
}

function callFields(frame: CallFrame): unknown[] {
  const { id, context, method, path, headers, body } = frame;
  const { requestId, kind, service } = context;
  const lines = [requestId, kind, service, method, path, ...headers].join(LINE_END);
  return [
    FrameCode.Call,
    id,
    lines,
    context.importance,
    context.deadlineMs,
    context.waitMs,
    context.objectiveMs,
    context.retries,
    context.isRepeat,
    Math.round(context.inheritedShare * PERCENT),
    bodyFormOf(body),
    body ?? null,
    context.answerMarginMs,
    context.fingerprint,
    context.groupRank,
  ];
}

function bodyFormOf(body: CallFrame['body']): BodyForm {
  if (body === undefined) return BodyForm.Stream;
  return body === null ? BodyForm.None : BodyForm.Whole;
}

function callOf(id: number, fields: unknown[]): CallFrame {
  const lines = (fields[CALL_LINES_FIELD] as string).split(LINE_END);
  const numbers = fields.slice(CALL_LINES_FIELD + 1) as CallNumbers;
  const [importance, deadlineMs, waitMs, objectiveMs, retries, isRepeat, inherited] = numbers;
  const rest = numbers.slice(BODY_FORM_FIELD) as BodyFields;
  const [form, bytes, answerMarginMs = 0, fingerprint = '', groupRank = 0] = rest;
  const [requestId, kind, service, method, path] = lines as [
    string,
    string,
    string,
    string,
    string,
  ];
  const frame = {
    type: 'call' as const,
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
      inheritedShare: inherited / PERCENT,
      answerMarginMs,
      fingerprint,
      groupRank,
    },
    method,
    path,
    headers: lines.slice(CALL_TEXTS),
  };
  if (form === BodyForm.Stream) return frame;
  return { ...frame, body: form === BodyForm.None ? null : bytesOf(bytes) };
}

function headOf(
  id: number,
  fields: unknown[],
): { id: number; status: number; headers: RawHeaders; outcome: Outcome } {
  const lines = fields[3] as string;
  return {
    id,
    status: fields[2] as number,
    headers: lines === '' ? [] : lines.split(LINE_END),
    outcome: outcomeOf(fields[4] as OutcomeFields),
  };
}

function outcomeFields(outcome: Outcome): OutcomeFields {
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

function outcomeOf(fields: OutcomeFields): Outcome {
  const [verdict, refusal, overloaded, nested, unspentRetries, inFlight, limit] = fields;
  const [congestion, rejectedByTarget, repeatRoom, crashNote] = fields.slice(CONGESTION_FIELD) as [
    number | null,
    boolean,
    RepeatRoom,
    CrashNote | null | undefined,
  ];
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

/** The same bytes as a Buffer, without a copy. */
function bytesOf(value: unknown): Buffer {
  if (Buffer.isBuffer(value)) return value;
  const bytes = value as Uint8Array;
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
