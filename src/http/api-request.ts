/** Reads JSON request bodies for control's APIs and for a sidecar's registration API. */
import type { IncomingMessage } from 'node:http';
import { discardBody, readRequestBody } from './request-body.js';
import { apiProblem, type ApiProblem } from './api-problem.js';

/** A parsed body, or the problem to answer with. */
export type JsonBody =
  | { readonly type: 'value'; readonly value: unknown }
  | { readonly type: 'problem'; readonly problem: ApiProblem };

/** Timeout for reading the whole body, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000;

/** Reads and parses a JSON body of at most `maxBytes` bytes. */
export async function readJsonBody(message: IncomingMessage, maxBytes: number): Promise<JsonBody> {
  const limits = { bufferBytes: maxBytes, maxBytes, timeoutMs: BODY_TIMEOUT_MS };
  const bytes = await new Promise<Buffer | ApiProblem>((resolve) => {
    readRequestBody(message, limits, (body, fault) => {
      if (body === undefined) {
        resolve(apiProblem('too-large', `The body was not taken: ${fault ?? 'unknown'}.`));
      } else if (!body.replayable) {
        discardBody(body);
        resolve(apiProblem('too-large', `The body takes at most ${maxBytes} bytes.`));
      } else resolve((body.content as Buffer | null) ?? Buffer.alloc(0));
    });
  });
  if (!Buffer.isBuffer(bytes)) return { type: 'problem', problem: bytes };
  try {
    return { type: 'value', value: JSON.parse(bytes.toString('utf8')) as unknown };
  } catch {
    // The parser's message is left out, as it quotes the body.
    return { type: 'problem', problem: apiProblem('invalid', 'The body is not JSON.') };
  }
}
