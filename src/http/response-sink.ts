/** Response to a caller as the sink of an answer. Aborting it closes the connection of the caller. */
import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './answer-sink.js';
import { abortResponse } from './caller-response.js';
import type { RawHeaders } from './header-filter.js';

export class ResponseSink implements AnswerSink {
  constructor(protected readonly response: ServerResponse) {}

  writeHead(status: number, headers: RawHeaders): void {
    this.response.writeHead(status, headers);
  }

  write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  end(lastChunk?: Buffer): void {
    this.response.end(lastChunk);
  }

  destroy(): void {
    abortResponse(this.response);
  }

  once(event: 'drain', listener: () => void): void {
    this.response.once(event, listener);
  }

  off(event: 'drain', listener: () => void): void {
    this.response.off(event, listener);
  }
}
