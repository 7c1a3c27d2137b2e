/**
 * Sends requests to the API of the control replicas: tries one replica after another, follows redirects to the leader, and
 * watches one replica. Changes must carry a change id, so that sending them again has no further effect.
 */
import { request, type Dispatcher } from 'undici';
import { RequestError, type RequestErrorProps } from '../common/errors.js';
import type { WatchEvent } from '../sync/watch-event.js';
import { HttpStatus } from '../common/http-status.js';

/** Addresses and credentials of control. */
export interface ControlAccess {
  /** Origins of control replicas. */
  readonly origins: readonly string[];
  readonly token: string;
  /** Timeout for one exchange, in milliseconds. Default 10,000. */
  readonly timeoutMs?: number;
}

export interface ApiAnswer {
  readonly status: number;
  /** The parsed JSON, or the text if it is not JSON; undefined if it is empty. */
  readonly body: unknown;
}

/** A request that can be sent to any replica. */
export interface ApiRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** Timeout for one exchange, in milliseconds: twice as long as a replica waits for a quorum. */
const DEFAULT_TIMEOUT_MS = 10_000;
/** Maximum redirects of one request; more than one, as the leader may change meanwhile. */
const MAX_REDIRECTS = 3;
/** Maximum rounds over all replicas. With the pauses between them, they take longer than an election. */
export const MAX_ROUNDS = 15;
/** Pause between two rounds, in milliseconds. */
const ROUND_PAUSE_MS = 300;

export class ReplicaClient {
  constructor(private readonly access: ControlAccess) {}

  /**
   * Sends a request to one replica after another until one answers.
   * @throws RequestError when no replica answers in any round
   */
  async send(message: ApiRequest): Promise<ApiAnswer> {
    let lastError: unknown;
    let lastAnswer: ApiAnswer | undefined;
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      for (const origin of this.access.origins) {
        try {
          const answer = await this.sendFollowingRedirects(origin, message);
          if (answer.status !== HttpStatus.ServiceUnavailable) return answer;
          lastAnswer = answer;
        } catch (error) {
          // Thrown after the last round, as another replica may still answer.
          lastError = error;
        }
      }
      await pauseBetweenRounds();
    }
    if (lastAnswer !== undefined) return lastAnswer;
    throw createNoAnswerError(lastError);
  }

  /**
   * Watches the changes after `revision` at one replica until its stream ends.
   * @throws RequestError when the replica answers with an error status
   */
  async *watch(origin: string, revision: number): AsyncGenerator<WatchEvent> {
    const response = await request(`${origin}/v1/watch?from=${revision}`, {
      headers: this.authorization(),
      bodyTimeout: this.timeoutMs,
    });
    if (response.statusCode === HttpStatus.Gone) {
      await response.body.dump();
      yield { type: 'relist' };
      return;
    }
    if (response.statusCode !== HttpStatus.Ok) {
      const body = parseBody(await response.body.text());
      expectOk({ status: response.statusCode, body });
    }
    let partialLine = '';
    response.body.setEncoding('utf8');
    for await (const chunk of response.body) {
      partialLine += chunk as string;
      const lines = partialLine.split('\n');
      partialLine = lines.pop() ?? '';
      for (const line of lines) yield JSON.parse(line) as WatchEvent;
    }
  }

  private async sendFollowingRedirects(origin: string, message: ApiRequest): Promise<ApiAnswer> {
    let url = origin + message.path;
    for (let redirects = 0; redirects <= MAX_REDIRECTS; redirects += 1) {
      const response = await request(url, {
        method: message.method,
        headers: { ...this.authorization(), ...message.headers },
        body: message.body,
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      const text = await response.body.text();
      const location = response.headers.location;
      if (response.statusCode !== HttpStatus.TemporaryRedirect || typeof location !== 'string') {
        return { status: response.statusCode, body: parseBody(text) };
      }
      url = location;
    }
    return { status: HttpStatus.ServiceUnavailable, body: undefined };
  }

  private get timeoutMs(): number {
    return this.access.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  private authorization(): Record<string, string> {
    return { authorization: `Bearer ${this.access.token}` };
  }
}

/** Returns the body of an answer with status 200. @throws RequestError for any other status */
export function expectOk(answer: ApiAnswer): unknown {
  if (answer.status === HttpStatus.Ok) return answer.body;
  throw new RequestError(`control answered ${answer.status}`, {
    props: { status: answer.status, verdict: 'not-run' },
  });
}

export function createNoAnswerError(cause: unknown): RequestError {
  const props: RequestErrorProps = { status: 0, verdict: 'may-have-run' };
  return new RequestError('no control replica answered', { cause, props });
}

/** Waits before the next round, so that a starting replica or an election can complete. */
export async function pauseBetweenRounds(): Promise<void> {
  await new Promise<void>((resolve) => setTimeout(resolve, ROUND_PAUSE_MS));
}

function parseBody(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // The answer of an intermediary such as a proxy; the caller prints the text unchanged.
    return text;
  }
}
