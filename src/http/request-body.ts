/**
 * The body of a caller's request. Small bodies are read whole before the call is sent, so that a slow sender holds no slot
 * and the call can be sent again; larger ones are streamed.
 *
 * For: every server. Owns: what was read until the body is handed on. Relies on: the limits that its server gives it.
 */
import { once } from 'node:events';
import { Readable } from 'node:stream';
import type { IncomingMessage } from 'node:http';
import { ShoredoorError } from '../common/errors.js';

/** Limits on request bodies. */
export interface BodyLimits {
  /** Bodies up to this size are held in memory. */
  readonly bufferBytes: number;
  /** Larger bodies are refused. */
  readonly maxBytes: number;
  /** Longest time for the held part to arrive, in milliseconds. */
  readonly timeoutMs: number;
}

/** Limits of a server; settings replace the largest size alone. None of the figures is measured. */
export const DEFAULT_BODY_LIMITS: BodyLimits = {
  bufferBytes: 64 * 1024,
  maxBytes: 64 * 1024 * 1024,
  timeoutMs: 10_000,
};

/** A body that is ready to be sent. */
export interface RequestBody {
  /** What undici sends: nothing, the whole body, or a stream that can be read once. */
  readonly content: Buffer | Readable | null;
  /** The whole body, or the part of a streamed one that is held in memory; null for none. */
  readonly start: Buffer | null;
  /** Whether the body can be sent again from its start. */
  readonly replayable: boolean;
}

/** Why a body was not taken. */
export type BodyFault = 'too-large' | 'request-timeout' | 'caller-gone';

/** Called with either a body or a fault. */
export type BodyCallback = (body: RequestBody | undefined, fault: BodyFault | undefined) => void;

const NO_BODY: RequestBody = { content: null, start: null, replayable: true };

/** Reads the body of `message` as far as it is held in memory, then calls back once. */
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

/** Reads until the end or until the held part is full. */
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
    const content = Readable.from(this.streamRemaining(), { objectMode: false });
    // The same bytes however the body was cut on its way.
    const start = Buffer.concat(this.chunks).subarray(0, this.limits.bufferBytes);
    this.finish({ content, start, replayable: false }, undefined);
  };

  private readonly onEnd = (): void => {
    const singleChunk = this.chunks.length === 1 ? this.chunks[0] : undefined;
    const content = singleChunk ?? Buffer.concat(this.chunks);
    this.finish({ content, start: content, replayable: true }, undefined);
  };

  private readonly onClose = (): void => this.finish(undefined, 'caller-gone');

  private finish(body: RequestBody | undefined, fault: BodyFault | undefined): void {
    clearTimeout(this.timer);
    this.message.off('data', this.onData);
    this.message.off('end', this.onEnd);
    this.message.off('close', this.onClose);
    this.callback(body, fault);
  }

  /**
   * Ends the caller's connection. Resolves when the caller counts as gone, so that what follows is laid on the caller: an
   * attempt that fails before that counts against its target.
   */
  private async closeConnection(): Promise<void> {
    const { socket } = this.message;
    const closed = socket.closed ? undefined : once(socket, 'close');
    this.message.destroy();
    await closed;
  }

  /** What was held and then the rest as it arrives; fails when the body grows too large. */
  private async *streamRemaining(): AsyncGenerator<Buffer> {
    yield* this.chunks;
    let total = this.size;
    for await (const chunk of this.message as AsyncIterable<Buffer>) {
      total += chunk.length;
      if (total > this.limits.maxBytes) {
        await this.closeConnection();
        throw new ShoredoorError('the body is larger than allowed');
      }
      yield chunk;
    }
  }
}
