/** Conversions of single field values, shared by the frame encoders. */

/** HTTP parsers reject line feeds in methods, targets and headers (RFC 9112, section 2.2). */
const STRING_SEPARATOR = '\n';
/** Fractions are sent as integer percentages: one byte instead of nine. */
const PERCENT_SCALE = 100;

/** Joins strings into one, which is cheaper to encode and decode than many short ones. */
export function joinStrings(texts: readonly string[]): string {
  return texts.join(STRING_SEPARATOR);
}

/** Splits the result of {@link joinStrings}. An empty string yields one empty string. */
export function splitStrings(text: string): string[] {
  return text.split(STRING_SEPARATOR);
}

/** Converts a fraction from 0 to 1 to an integer percentage. */
export function toPercent(share: number): number {
  return Math.round(share * PERCENT_SCALE);
}

/** Converts an integer percentage to a fraction from 0 to 1. */
export function fromPercent(percent: number): number {
  return percent / PERCENT_SCALE;
}

/** Views the bytes of a decoded field as a Buffer, without copying. */
export function toBuffer(value: unknown): Buffer {
  if (Buffer.isBuffer(value)) return value;
  const bytes = value as Uint8Array;
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
