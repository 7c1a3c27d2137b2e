/**
 * Requests to the control replicas' API: to one replica after another until one answers, with redirects to the leader, and
 * one watch at one replica. Relies on each change carrying its change id, so that a resend is harmless. Owns no state.
 */
import { request, type Dispatcher } from 'undici';
import { RequestError, type RequestErrorProps } from '../common/errors.js';
import type { WatchEvent } from '../sync/watch-event.js';
import { HttpStatus } from '../common/http-status.js';

/** Where control is and who asks. */
export interface ControlAccess {
  /** Origins of control replicas. */
  readonly origins: readonly string[];
  readonly token: string;
  /** Longest time for one exchange, in milliseconds. Default 10,000. */
  readonly timeoutMs?: number;
}

/** An answer of the API. */
export interface ApiAnswer {
  readonly status: number;
  /** The parsed JSON, or the text where it is none; undefined where it is empty. */
  readonly body: unknown;
}

/** A request, without its replica. */
export interface ApiRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** Longest time for one exchange, in milliseconds: twice as long as a replica waits for a quorum. */
const DEFAULT_TIMEOUT_MS = 10_000;
/** Most redirects of one request: leaders may change meanwhile. */
const MAX_REDIRECTS = 3;
/** Rounds over all replicas; with the pauses longer than an election. */
export const MAX_ROUNDS = 15;
/** Pause between two rounds, in milliseconds. */
const ROUND_PAUSE_MS = 300;

export class ReplicaClient {
  constructor(private readonly access: ControlAccess) {}

  /**
   * Sends to one replica after another until one answers.
   * @throws RequestError when none does in any round
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
          // Thrown after the last round: until then another replica may answer.
          lastError = error;
        }
      }
      await pauseBetweenRounds();
    }
    if (lastAnswer !== undefined) return lastAnswer;
    throw createNoAnswerError(lastError);
  }

  /**
   * Follows the changes after `revision` at one replica, until its stream ends.
   * @throws RequestError when the replica refuses
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

/** The body of an answer with status 200. @throws RequestError for any other status */
export function expectOk(answer: ApiAnswer): unknown {
  if (answer.status === HttpStatus.Ok) return answer.body;
  throw new RequestError(`control answered ${answer.status}`, {
    props: { status: answer.status, verdict: 'not-run' },
  });
}

/** The error where no replica has answered. */
export function createNoAnswerError(cause: unknown): RequestError {
  const props: RequestErrorProps = { status: 0, verdict: 'may-have-run' };
  return new RequestError('no control replica answered', { cause, props });
}

/** Lets a replica that starts, or an election, come to its end. */
export async function pauseBetweenRounds(): Promise<void> {
  await new Promise<void>((resolve) => setTimeout(resolve, ROUND_PAUSE_MS));
}

function parseBody(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // Not an answer of control but of something before it: the caller shows the text as it is.
    return text;
  }
}
