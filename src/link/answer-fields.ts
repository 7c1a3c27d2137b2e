/** Encoding of response frames: the head alone, or the head together with the whole body. */
import type { AnswerFrame, HeadFrame } from './link-frames.js';
import { FrameCode } from './frame-code.js';
import { toBuffer, joinStrings, splitStrings } from './frame-fields.js';
import { fromOutcomeFields, toOutcomeFields, type OutcomeFields } from './outcome-fields.js';

/** Fields of a response head, in wire order. */
export type HeadFields = [
  code: FrameCode.Head | FrameCode.Answer,
  id: number,
  status: number,
  /** Alternating header names and values, see {@link joinStrings}. */
  headers: string,
  outcome: OutcomeFields,
];

/** Fields of a complete response, in wire order. */
export type AnswerFields = [...head: HeadFields, body: unknown];

/** Encodes a response head whose body follows in separate frames. */
export function toHeadFields(frame: HeadFrame): HeadFields {
  return [
    FrameCode.Head,
    frame.id,
    frame.status,
    joinStrings(frame.headers),
    toOutcomeFields(frame.outcome),
  ];
}

/** Decodes a response head. */
export function fromHeadFields(fields: HeadFields): HeadFrame {
  return { type: 'head', ...decodeHead(fields) };
}

/** Encodes a complete response. */
export function toAnswerFields(frame: AnswerFrame): AnswerFields {
  return [
    FrameCode.Answer,
    frame.id,
    frame.status,
    joinStrings(frame.headers),
    toOutcomeFields(frame.outcome),
    frame.body,
  ];
}

/** Decodes a complete response. */
export function fromAnswerFields(fields: AnswerFields): AnswerFrame {
  const [, , , , , body] = fields;
  return { type: 'answer', ...decodeHead(fields), body: toBuffer(body) };
}

function decodeHead([, id, status, headers, outcome]: HeadFields | AnswerFields): Omit<
  HeadFrame,
  'type'
> {
  return {
    id,
    status,
    headers: headers === '' ? [] : splitStrings(headers),
    outcome: fromOutcomeFields(outcome),
  };
}
