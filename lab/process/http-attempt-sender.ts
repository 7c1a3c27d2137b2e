/** Sends the attempts of the lab's callers to edges over HTTP. */
import { Agent, request } from 'undici';
import { VERDICT_HEADER } from '../../src/call/call-context.js';
import { checkAnswer } from '../model/answer-body.js';
import {
  parseVerdict,
  type AttemptAnswer,
  type AttemptSender,
  type CallerAttempt,
} from '../model/caller-model.js';
import { LAB_ID_HEADER } from './backend-process.js';

const MAX_CONNECTIONS = 1_024;
const NO_ANSWER: AttemptAnswer = {
  status: 0,
  verdict: undefined,
  retryAfterSeconds: 0,
  check: undefined,
};

/** Creates a sender that distributes attempts over the edges in round-robin order. */
export function createHttpSender(edgeOrigins: readonly string[]): AttemptSender {
  const agent = new Agent({ connections: MAX_CONNECTIONS, headersTimeout: 0, bodyTimeout: 0 });
  let nextEdge = 0;
  return (attempt, done) => {
    const origin = edgeOrigins[nextEdge % edgeOrigins.length]!;
    nextEdge += 1;
    const abort = new AbortController();
    let cancelled = false;
    const timer = setTimeout(() => abort.abort(), attempt.timeoutMs);
    sendAttempt(origin, attempt, agent, abort.signal)
      .catch(() => NO_ANSWER)
      .then((answer) => {
        clearTimeout(timer);
        if (!cancelled) done(answer);
      })
      .catch((error: unknown) => {
        process.stderr.write(`lab callers: ${String(error)}\n`);
      });
    return {
      cancel: () => {
        cancelled = true;
        abort.abort();
      },
    };
  };
}

async function sendAttempt(
  origin: string,
  attempt: CallerAttempt,
  agent: Agent,
  signal: AbortSignal,
): Promise<AttemptAnswer> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${attempt.apiKey}`,
    [LAB_ID_HEADER]: attempt.labId,
  };
  if (attempt.idempotencyKey !== undefined) headers['idempotency-key'] = attempt.idempotencyKey;
  const response = await request(origin + attempt.path, {
    method: attempt.method as 'GET',
    dispatcher: agent,
    signal,
    headers,
  });
  const body = await response.body.text();
  const verdict = response.headers[VERDICT_HEADER];
  return {
    status: response.statusCode,
    verdict: parseVerdict(typeof verdict === 'string' ? verdict : undefined),
    retryAfterSeconds: Number(response.headers['retry-after'] ?? 0),
    check: response.statusCode === 200 ? checkAnswer(attempt.labId, body) : undefined,
  };
}
