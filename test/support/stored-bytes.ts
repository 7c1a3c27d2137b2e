/**
 * Shows stored bytes as text with nothing but msgpack and the layout of records: none of the product's own code takes
 * part, so that a change of that code can't change both sides of a comparison.
 */
import { unpack } from 'msgpackr';

const HEADER_BYTES = 12;

/** A record of a file: all its bytes, and what its payload decodes to. */
export interface ShownRecord {
  /** Header and payload, hexadecimal. */
  readonly hex: string;
  /** See {@link decodedText}. */
  readonly text: string;
}

/** The records of a file. */
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
 * JSON text of a msgpack value with the fields in the order in which they are stored. Binary values stand as
 * `{"msgpack": VALUE}` where they hold msgpack themselves, and undefined ones as `{"undefined": true}`.
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
