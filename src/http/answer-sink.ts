/**
 * Where an answer goes as it arrives: the part of `http.ServerResponse` that a relay uses, so that a link can take its
 * place.
 *
 * For: `relay-handler.ts`. Owns: nothing. Relies on: the meaning that Node.js gives to these methods.
 */
import type { RawHeaders } from './header-filter.js';

export interface AnswerSink {
  writeHead(status: number, headers: RawHeaders): unknown;
  /** @returns false when the sink wants no more before it has drained */
  write(chunk: Buffer): boolean;
  end(): unknown;
  /** The answer breaks off: its receiver must not take it for whole. */
  destroy(): unknown;
  once(event: 'drain', listener: () => void): unknown;
  off(event: 'drain', listener: () => void): unknown;
}
