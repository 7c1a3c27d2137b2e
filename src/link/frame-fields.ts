/**
 * How single values stand among the fields of a frame.
 *
 * For: the modules that lay out one kind of frame each. Owns: the separator of texts and the scale of shares. Relies
 * on: texts of a head without a line end, which HTTP parsers on either side refuse.
 */

/** No text of a head can contain it (RFC 9112, section 2.2). */
const STRING_SEPARATOR = '\n';
/** Shares travel as whole hundredths: one byte in place of nine. */
const PERCENT_SCALE = 100;

/** Several texts as one: many short texts cost more processor time than all else about a frame. */
export function joinStrings(texts: readonly string[]): string {
  return texts.join(STRING_SEPARATOR);
}

/** The texts of {@link joinStrings}; an empty one is a single empty text. */
export function splitStrings(text: string): string[] {
  return text.split(STRING_SEPARATOR);
}

/** A share from 0 to 1 as whole hundredths. */
export function toPercent(share: number): number {
  return Math.round(share * PERCENT_SCALE);
}

/** A share from 0 to 1 that travelled as whole hundredths. */
export function fromPercent(percent: number): number {
  return percent / PERCENT_SCALE;
}

/** The bytes of a field as a Buffer, without a copy. */
export function toBuffer(value: unknown): Buffer {
  if (Buffer.isBuffer(value)) return value;
  const bytes = value as Uint8Array;
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
