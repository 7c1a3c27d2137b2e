/**
 * Format of the records in a file: a header of three 32-bit big-endian integers (length of the payload, CRC-32 of the length
 * bytes, CRC-32 of the payload), followed by the payload. The separate checksum of the length distinguishes a damaged
 * length from an incomplete record.
 */
import { crc32 } from 'node:zlib';

// Layout of the header, in bytes.
const HEADER_BYTES = 12;
const LENGTH_OFFSET = 0;
const HEADER_CHECKSUM_OFFSET = 4;
const PAYLOAD_CHECKSUM_OFFSET = 8;
const LENGTH_BYTES = 4;

/** State of the end of a file. */
export type RecordEnd =
  | { readonly type: 'complete' }
  /** The last write is incomplete. It was never synced, so it can be truncated without loss. */
  | { readonly type: 'torn' }
  /** Data that may have been synced is corrupt. */
  | { readonly type: 'damaged'; readonly offset: number; readonly reason: string };

/** Result of {@link scanRecords}. */
export interface RecordScan {
  readonly payloads: readonly Uint8Array[];
  /** Offset of the end of the last valid record. */
  readonly validBytes: number;
  readonly end: RecordEnd;
}

/** Encodes a payload as a record. */
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
 * Reads records up to the end of the file or the first invalid record. Only two endings prove that a write was never
 * synced: fewer bytes than the header needs or a valid header declares, and only zeros. Any other invalid record may be a
 * synced one that was damaged later.
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
