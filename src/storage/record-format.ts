/**
 * Records in a file: a header of three 32-bit big-endian numbers (length of the payload, checksum of
 * the length, checksum of the payload; all CRC-32) and the payload. The header has a checksum of its
 * own so that a damaged length is told from a record that was cut short.
 */
import { crc32 } from 'node:zlib';

/** Layout of the header, in bytes; a part of the stored form. */
const HEADER_BYTES = 12;
const LENGTH_OFFSET = 0;
const HEADER_CHECKSUM_OFFSET = 4;
const PAYLOAD_CHECKSUM_OFFSET = 8;
const LENGTH_BYTES = 4;

/** How the end of a file was found. */
export type RecordEnd =
  | { readonly type: 'complete' }
  /** The last write was cut short. It was never synced, so cutting it off loses nothing. */
  | { readonly type: 'torn' }
  /** Bytes that may have been synced are wrong. */
  | { readonly type: 'damaged'; readonly offset: number; readonly reason: string };

/** What {@link scanRecords} found. */
export interface RecordScan {
  readonly payloads: readonly Uint8Array[];
  /** Bytes up to the end of the last good record. */
  readonly validBytes: number;
  readonly end: RecordEnd;
}

/** A payload with its header. */
export function encodeRecord(payload: Uint8Array): Uint8Array {
  const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  record.writeUInt32BE(payload.length, LENGTH_OFFSET);
  const lengthBytes = record.subarray(LENGTH_OFFSET, LENGTH_BYTES);
  record.writeUInt32BE(crc32(lengthBytes), HEADER_CHECKSUM_OFFSET);
  record.writeUInt32BE(crc32(payload), PAYLOAD_CHECKSUM_OFFSET);
  record.set(payload, HEADER_BYTES);
  return record;
}

/**
 * Reads records up to the end of the file or the first that is not whole. Only two kinds of end are
 * proof of a write that was never synced: fewer bytes than the header or a sound header declares,
 * and nothing but zeros. Anything else may be a synced record that was damaged later.
 */
export function scanRecords(bytes: Uint8Array): RecordScan {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const payloads: Uint8Array[] = [];
  let offset = 0;
  const endWith = (end: RecordEnd): RecordScan => ({ payloads, validBytes: offset, end });
  const damaged = (reason: string): RecordScan => endWith({ type: 'damaged', offset, reason });
  while (offset < buffer.length) {
    const rest = buffer.subarray(offset);
    if (rest.length < HEADER_BYTES || isAllZero(rest)) return endWith({ type: 'torn' });
    const length = rest.readUInt32BE(LENGTH_OFFSET);
    const headerChecksum = rest.readUInt32BE(HEADER_CHECKSUM_OFFSET);
    if (crc32(rest.subarray(LENGTH_OFFSET, LENGTH_BYTES)) !== headerChecksum) {
      return damaged('the header of a record is damaged');
    }
    const end = HEADER_BYTES + length;
    if (rest.length < end) return endWith({ type: 'torn' });
    const payload = rest.subarray(HEADER_BYTES, end);
    if (crc32(payload) !== rest.readUInt32BE(PAYLOAD_CHECKSUM_OFFSET)) {
      return damaged('the contents of a record are damaged');
    }
    payloads.push(payload);
    offset += end;
  }
  return endWith({ type: 'complete' });
}

function isAllZero(bytes: Uint8Array): boolean {
  return bytes.every((byte) => byte === 0);
}
