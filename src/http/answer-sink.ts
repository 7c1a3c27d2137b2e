/**
 * Destination of a relayed answer: the subset of `http.ServerResponse` that `RelayHandler` uses, which a link between
 * sidecars implements too.
 */
import type { RawHeaders } from './header-filter.js';

export interface AnswerSink {
  writeHead(status: number, headers: RawHeaders): unknown;
  /** @returns false when the internal buffer is full; continue after `drain` */
  write(chunk: Buffer): boolean;
  end(): unknown;
  /** Aborts the answer, so that its receiver does not treat it as complete. */
  destroy(): unknown;
  once(event: 'drain', listener: () => void): unknown;
  off(event: 'drain', listener: () => void): unknown;
}
