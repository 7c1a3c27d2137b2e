/**
 * Decodes stored records to text without using the product's code, so that a change of that code cannot alter both
 * sides of a comparison.
 */
import { unpack } from 'msgpackr';

const HEADER_BYTES = 12;

/** A stored record: its bytes and its decoded payload. */
export interface ShownRecord {
  /** Header and payload in hexadecimal. */
  readonly hex: string;
  /** See {@link decodedText}. */
  readonly text: string;
}

/** Splits the contents of a file into records. */
export function showRecords(file: Uint8Array): ShownRecord[] {
  const bytes = Buffer.from(file);
  const shown: ShownRecord[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const end = offset + HEADER_BYTES + bytes.readUInt32BE(offset);
    const hex = bytes.subarray(offset, end).toString('hex');
    shown.push({ hex, text: decodedText(bytes.subarray(offset + HEADER_BYTES, end)) });
    offset = end;
  }
  return shown;
}

/**
 * Returns a msgpack value as JSON, with the fields in stored order. Binary values that contain msgpack are represented
 * as `{"msgpack": VALUE}`, and undefined values as `{"undefined": true}`.
 */
export function decodedText(payload: Uint8Array): string {
  return JSON.stringify(plainValue(unpack(payload)));
}

function plainValue(value: unknown): unknown {
  if (value === undefined) return { undefined: true };
  if (value instanceof Uint8Array) {
    return { msgpack: value.length === 0 ? null : plainValue(unpack(value)) };
  }
  if (Array.isArray(value)) return value.map(plainValue);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(Object.entries(value).map(([name, part]) => [name, plainValue(part)]));
}
