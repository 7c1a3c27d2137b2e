/**
 * The fields of an answer's head, alone or with the whole body behind it.
 *
 * For: `frame-codec.ts`. Owns: the order of the fields. Relies on: `outcome-fields.ts`.
 */
import type { AnswerFrame, HeadFrame } from './link-frames.js';
import { FrameCode } from './frame-code.js';
import { toBuffer, joinStrings, splitStrings } from './frame-fields.js';
import { fromOutcomeFields, toOutcomeFields, type OutcomeFields } from './outcome-fields.js';

/** In this order on the wire. */
export type HeadFields = [
  code: FrameCode.Head | FrameCode.Answer,
  id: number,
  status: number,
  /** Names and values of the headers, alternating. */
  headers: string,
  outcome: OutcomeFields,
];

/** A head with the whole body behind it. */
export type AnswerFields = [...head: HeadFields, body: unknown];

/** The fields of a head whose body follows. */
export function toHeadFields(frame: HeadFrame): HeadFields {
  return [
    FrameCode.Head,
    frame.id,
    frame.status,
    joinStrings(frame.headers),
    toOutcomeFields(frame.outcome),
  ];
}

/** The head with these fields. */
export function fromHeadFields(fields: HeadFields): HeadFrame {
  return { type: 'head', ...decodeHead(fields) };
}

/** The fields of a whole answer. */
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

/** The whole answer with these fields. */
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
