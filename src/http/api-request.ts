/**
 * Reads the JSON body of a request to one of control's APIs or to a sidecar's registration API.
 *
 * For: their handlers. Owns: the longest time for a body. Relies on: `request-body.ts`; the largest size is the caller's.
 */
import type { IncomingMessage } from 'node:http';
import { readRequestBody } from './request-body.js';
import { apiProblem, type ApiProblem } from './api-problem.js';

/** A parsed body, or why there is none. */
export type JsonBody =
  | { readonly type: 'value'; readonly value: unknown }
  | { readonly type: 'problem'; readonly problem: ApiProblem };

/** Longest time for the whole body to arrive, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000;

/** Reads and parses a body of at most `maxBytes`. */
export async function readJsonBody(message: IncomingMessage, maxBytes: number): Promise<JsonBody> {
  const limits = { bufferBytes: maxBytes, maxBytes, timeoutMs: BODY_TIMEOUT_MS };
  const bytes = await new Promise<Buffer | ApiProblem>((resolve) => {
    readRequestBody(message, limits, (body, fault) => {
      if (body === undefined) {
        resolve(apiProblem('too-large', `The body was not taken: ${fault ?? 'unknown'}.`));
      } else if (!body.replayable) {
        resolve(apiProblem('too-large', `The body takes at most ${maxBytes} bytes.`));
      } else resolve((body.content as Buffer | null) ?? Buffer.alloc(0));
    });
  });
  if (!Buffer.isBuffer(bytes)) return { type: 'problem', problem: bytes };
  try {
    return { type: 'value', value: JSON.parse(bytes.toString('utf8')) as unknown };
  } catch {
    // The client is told. Where the parser stopped is left out: it would quote the body.
    return { type: 'problem', problem: apiProblem('invalid', 'The body is not JSON.') };
  }
}
