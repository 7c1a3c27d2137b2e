/**
 * Reads request bodies. Small bodies are buffered before the call is sent, so that a slow sender holds no slot and the call
 * can be retried; larger ones are streamed.
 */
import type { Readable } from 'node:stream';
import type { IncomingMessage } from 'node:http';
import { StreamedBody } from './streamed-body.js';

export interface BodyLimits {
  /** Bodies up to this size are buffered; of larger ones, the first bytes. */
  readonly bufferBytes: number;
  /** Maximum size of a body. */
  readonly maxBytes: number;
  /** Timeout for receiving the buffered part, in milliseconds. */
  readonly timeoutMs: number;
}

/** Default limits of a server. Settings override `maxBytes` only. */
export const DEFAULT_BODY_LIMITS: BodyLimits = {
  bufferBytes: 64 * 1024,
  maxBytes: 64 * 1024 * 1024,
  timeoutMs: 10_000,
};

/** A request body that is ready to be forwarded. */
export interface RequestBody {
  /** The body for undici: null for none, the whole body, or a stream that can be read once. */
  readonly content: Buffer | Readable | null;
  /** The whole body, or the first `bufferBytes` of a streamed one; null for none. */
  readonly bufferedStart: Buffer | null;
  /** Whether the body can be sent more than once. */
  readonly replayable: boolean;
}

/** Why a body could not be read. */
export type BodyFault = 'too-large' | 'request-timeout' | 'caller-gone';

/** Called once with either a body or a fault. */
export type BodyCallback = (body: RequestBody | undefined, fault: BodyFault | undefined) => void;

const NO_BODY: RequestBody = { content: null, bufferedStart: null, replayable: true };

/** Reads the buffered part of the body of `message`, then calls back. */
export function readRequestBody(
  message: IncomingMessage,
  limits: BodyLimits,
  callback: BodyCallback,
): void {
  const { headers } = message;
  const contentLength = headers['content-length'];
  const isChunked = headers['transfer-encoding'] !== undefined;
  if (!isChunked && (contentLength === undefined || contentLength === '0')) {
    message.resume();
    callback(NO_BODY, undefined);
    return;
  }
  if (contentLength !== undefined && Number(contentLength) > limits.maxBytes) {
    callback(undefined, 'too-large');
    return;
  }
  new BodyReader(message, limits, callback).start();
}

/** Discards the rest of a streamed body that nothing will read any more. */
export function discardBody({ content }: RequestBody): void {
  if (content instanceof StreamedBody) content.destroy();
}

/** Buffers a body until it ends or exceeds `bufferBytes`. */
class BodyReader {
  private readonly chunks: Buffer[] = [];
  private size = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly message: IncomingMessage,
    private readonly limits: BodyLimits,
    private readonly callback: BodyCallback,
  ) {}

  start(): void {
    this.timer = setTimeout(() => this.finish(undefined, 'request-timeout'), this.limits.timeoutMs);
    this.message.on('data', this.onData);
    this.message.on('end', this.onEnd);
    this.message.on('close', this.onClose);
  }

  private readonly onData = (chunk: Buffer): void => {
    this.chunks.push(chunk);
    this.size += chunk.length;
    if (this.size <= this.limits.bufferBytes) return;
    this.message.pause();
    const content = new StreamedBody(this.message, this.chunks, this.limits.maxBytes);
    // Cut at the limit, so that the bytes do not depend on the chunk boundaries.
    const start = Buffer.concat(this.chunks).subarray(0, this.limits.bufferBytes);
    this.finish({ content, bufferedStart: start, replayable: false }, undefined);
  };

  private readonly onEnd = (): void => {
    const singleChunk = this.chunks.length === 1 ? this.chunks[0] : undefined;
    const content = singleChunk ?? Buffer.concat(this.chunks);
    this.finish({ content, bufferedStart: content, replayable: true }, undefined);
  };

  private readonly onClose = (): void => this.finish(undefined, 'caller-gone');

  private finish(body: RequestBody | undefined, fault: BodyFault | undefined): void {
    clearTimeout(this.timer);
    this.message.off('data', this.onData);
    this.message.off('end', this.onEnd);
    this.message.off('close', this.onClose);
    this.callback(body, fault);
  }
}
