/**
 * The `traceparent` header of the W3C Trace Context recommendation, section 3.2. For edges and nodes, which tie the calls
 * of a target to the call that it works on; sidecars tie them by no header.
 *
 * Owns a stock of random bytes; relies on the system's random source.
 */
import { randomFillSync } from 'node:crypto';

/** Trace id and parent id of a `traceparent` header. */
export interface TraceParent {
  /** 32 hexadecimal digits. */
  readonly traceId: string;
  /** 16 hexadecimal digits. */
  readonly spanId: string;
}

const TRACE_PARENT_SYNTAX = /^00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}$/;
const INVALID_TRACE_ID = '0'.repeat(32);
const INVALID_SPAN_ID = '0'.repeat(16);

/** Reads a `traceparent` header; undefined when it is missing or malformed. */
export function parseTraceParent(text: string | undefined): TraceParent | undefined {
  if (text === undefined) return undefined;
  const match = TRACE_PARENT_SYNTAX.exec(text);
  const traceId = match?.[1];
  const spanId = match?.[2];
  if (traceId === undefined || spanId === undefined) return undefined;
  if (traceId === INVALID_TRACE_ID || spanId === INVALID_SPAN_ID) return undefined;
  return { traceId, spanId };
}

/** The header text of a trace parent, sampled flag set. */
export function formatTraceParent(parent: TraceParent): string {
  return `00-${parent.traceId}-${parent.spanId}-01`;
}

/** Random bytes that are drawn at once: one draw serves some 170 calls. */
const POOL_BYTES = 4096;
const pool = Buffer.alloc(POOL_BYTES);
let poolOffset = POOL_BYTES;

/** Random bytes as hexadecimal digits, drawn from the system in large pieces. */
function randomHex(byteCount: number): string {
  if (poolOffset + byteCount > POOL_BYTES) {
    randomFillSync(pool);
    poolOffset = 0;
  }
  const text = pool.toString('hex', poolOffset, poolOffset + byteCount);
  poolOffset += byteCount;
  return text;
}

/** A new trace id. */
export function newTraceId(): string {
  return randomHex(16);
}

/** A new span id. */
export function newSpanId(): string {
  return randomHex(8);
}
