/**
 * The `traceparent` header (W3C Trace Context, section 3.2). Edges and nodes use it to associate the calls that a target
 * makes with the call that it is processing.
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

/** Parses a `traceparent` header; returns undefined if it is missing or malformed. */
export function parseTraceParent(text: string | undefined): TraceParent | undefined {
  if (text === undefined) return undefined;
  const match = TRACE_PARENT_SYNTAX.exec(text);
  const traceId = match?.[1];
  const spanId = match?.[2];
  if (traceId === undefined || spanId === undefined) return undefined;
  if (traceId === INVALID_TRACE_ID || spanId === INVALID_SPAN_ID) return undefined;
  return { traceId, spanId };
}

/** Formats a `traceparent` header, with the sampled flag set. */
export function formatTraceParent(parent: TraceParent): string {
  return `00-${parent.traceId}-${parent.spanId}-01`;
}

/** Random bytes are generated in batches of this size, which is cheaper than once per id. */
const POOL_BYTES = 4096;
const pool = Buffer.alloc(POOL_BYTES);
let poolOffset = POOL_BYTES;

function randomHex(byteCount: number): string {
  if (poolOffset + byteCount > POOL_BYTES) {
    randomFillSync(pool);
    poolOffset = 0;
  }
  const text = pool.toString('hex', poolOffset, poolOffset + byteCount);
  poolOffset += byteCount;
  return text;
}

export function newTraceId(): string {
  return randomHex(16);
}

export function newSpanId(): string {
  return randomHex(8);
}
