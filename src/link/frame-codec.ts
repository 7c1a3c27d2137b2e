/**
 * Binary encoding of {@link LinkFrame}s: a 32-bit big-endian length followed by a msgpack array. Fields are positional and
 * the strings of a head are joined into one, because property names and many short strings are expensive to encode and
 * decode (docs/design/platform.md).
 */
import { Packr } from 'msgpackr';
import {
  fromAnswerFields,
  fromHeadFields,
  toAnswerFields,
  toHeadFields,
  type AnswerFields,
  type HeadFields,
} from './answer-fields.js';
import { fromCallFields, toCallFields, type CallFields } from './call-fields.js';
import { FrameCode } from './frame-code.js';
import { toBuffer } from './frame-fields.js';
import type { LinkFrame } from './link-frames.js';
import { fromOutcomeFields, toOutcomeFields, type OutcomeFields } from './outcome-fields.js';

/** Size of the length prefix. */
const LENGTH_BYTES = 4;
/** Maximum length of a received frame. Valid frames are far smaller: bodies over 64 KiB are split into several. */
const MAX_FRAME_BYTES = 16 * 1024 * 1024;
const packr = new Packr({ useRecords: false });

/** Encodes a frame with its length prefix. */
export function encodeFrame(frame: LinkFrame): Buffer {
  const payload = packr.pack(toFields(frame));
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  bytes.writeUInt32BE(payload.length, 0);
  payload.copy(bytes, LENGTH_BYTES);
  return bytes;
}

/** Splits a byte stream into frames. */
export class FrameReader {
  private unreadBytes: Buffer = Buffer.alloc(0);

  /**
   * Appends received bytes. Bytes of an incomplete frame are kept for the next call.
   * @returns the frames that are now complete
   * @throws if a frame is too large, is not valid msgpack or has an unknown type
   */
  read(bytes: Buffer): LinkFrame[] {
    const buffer = this.unreadBytes.length === 0 ? bytes : Buffer.concat([this.unreadBytes, bytes]);
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
    this.unreadBytes = buffer.subarray(offset);
    return frames;
  }
}

function toFields(frame: LinkFrame): unknown[] {
  switch (frame.type) {
    case 'hello':
      return [FrameCode.Hello, frame.token];
    case 'call':
      return toCallFields(frame);
    case 'answer':
      return toAnswerFields(frame);
    case 'head':
      return toHeadFields(frame);
    case 'refused':
      return [FrameCode.Refused, frame.id, toOutcomeFields(frame.outcome)];
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

/** @throws RangeError if the frame type is unknown */
function fromFields(fields: unknown[]): LinkFrame {
  const [code, id, value] = fields as [FrameCode, number, unknown];
  switch (code) {
    case FrameCode.Hello:
      return { type: 'hello', token: fields[1] as string };
    case FrameCode.Call:
      return fromCallFields(fields as CallFields);
    case FrameCode.Answer:
      return fromAnswerFields(fields as AnswerFields);
    case FrameCode.Head:
      return fromHeadFields(fields as HeadFields);
    case FrameCode.Refused:
      return { type: 'refused', id, outcome: fromOutcomeFields(value as OutcomeFields) };
    case FrameCode.Data:
      return { type: 'data', id, bytes: toBuffer(value) };
    case FrameCode.End:
      return { type: 'end', id };
    case FrameCode.Broken:
      return { type: 'broken', id };
    case FrameCode.Cancel:
      return { type: 'cancel', id };
    case FrameCode.Taken:
      return { type: 'taken', id, bytes: value as number };
    case FrameCode.Ping:
      return { type: 'ping' };
    case FrameCode.Pong:
      return { type: 'pong' };
  }
  throw new RangeError('a frame is of no known kind');
}
