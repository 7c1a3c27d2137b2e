/** A client of the resource API, for the command line. Tries every replica and follows the leader. */
import { request, type Dispatcher } from 'undici';
import { RequestError, type RequestErrorProps } from '../common/errors.js';
import type { ResourceId, StoredResource } from '../policy/stored-resource.js';
import type { StatusReport } from '../sync/status-report.js';
import type { WatchEvent } from '../sync/watch-event.js';
import type { Resource } from '../policy/resource-schema.js';

/** Where control is and who asks. */
export interface ResourceClientOptions {
  /** Origins of control replicas. */
  readonly origins: readonly string[];
  readonly token: string;
  readonly timeoutMs?: number;
}

/** An answer of the API. */
export interface ApiAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** A change to send. */
export interface ChangeOptions {
  /** Sent as `Idempotency-Key`; resends use the same one. */
  readonly changeId: string;
  /** Version that the resource must stand at; `absent` when it must not exist. */
  readonly expect?: number | 'absent';
  readonly dryRun?: boolean;
}

/** The answer of a list request. */
export interface ResourceList {
  readonly revision: number;
  readonly items: readonly StoredResource[];
}

const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_REDIRECTS = 3;
/** Together longer than an election. */
const MAX_ROUNDS = 15;
const ROUND_PAUSE_MS = 300;
const STATUS_REDIRECT = 307;
const STATUS_UNAVAILABLE = 503;

interface SendOptions {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

function resourcePath(id: ResourceId): string {
  return `/v1/resources/${id.kind}/${id.name}`;
}

export class ResourceClient {
  constructor(private readonly options: ResourceClientOptions) {}

  async put(resource: Resource, change: ChangeOptions): Promise<ApiAnswer> {
    return this.send({
      method: 'PUT',
      path: resourcePath(resource) + dryRunQuery(change),
      headers: changeHeaders(change),
      body: JSON.stringify(resource),
    });
  }

  async delete(id: ResourceId, change: ChangeOptions): Promise<ApiAnswer> {
    return this.send({
      method: 'DELETE',
      path: resourcePath(id) + dryRunQuery(change),
      headers: changeHeaders(change),
    });
  }

  async get(id: ResourceId): Promise<ApiAnswer> {
    return this.send({ method: 'GET', path: resourcePath(id) });
  }

  /** @throws RequestError when the list cannot be had */
  async list(): Promise<ResourceList> {
    const answer = await this.send({ method: 'GET', path: '/v1/resources' });
    return expectOk(answer) as ResourceList;
  }

  /** @throws RequestError when the report cannot be had */
  async status(): Promise<StatusReport> {
    const answer = await this.send({ method: 'GET', path: '/v1/status' });
    return expectOk(answer) as StatusReport;
  }

  /**
   * Follows the changes after `from`, across replicas.
   * @throws RequestError when no replica can be reached
   */
  async *watch(from: number): AsyncGenerator<WatchEvent> {
    let revision = from;
    let failures = 0;
    for (let index = 0; ; index += 1) {
      const origin = this.options.origins[index % this.options.origins.length]!;
      try {
        for await (const event of this.watchOnce(origin, revision)) {
          failures = 0;
          if (event.type === 'change') revision = event.change.revision;
          yield event;
          if (event.type === 'relist') return;
        }
      } catch (error) {
        if (error instanceof RequestError && error.status !== 0) throw error;
        failures += 1;
        if (failures > MAX_ROUNDS * this.options.origins.length) throw noAnswer(error);
        await pause(ROUND_PAUSE_MS);
      }
    }
  }

  private async *watchOnce(origin: string, revision: number): AsyncGenerator<WatchEvent> {
    const response = await request(`${origin}/v1/watch?from=${revision}`, {
      headers: this.authorization(),
      bodyTimeout: this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    });
    if (response.statusCode === 410) {
      await response.body.dump();
      yield { type: 'relist' };
      return;
    }
    if (response.statusCode !== 200) {
      const body = parseBody(await response.body.text());
      expectOk({ status: response.statusCode, body });
    }
    let rest = '';
    response.body.setEncoding('utf8');
    for await (const chunk of response.body) {
      rest += chunk as string;
      const lines = rest.split('\n');
      rest = lines.pop() ?? '';
      for (const line of lines) yield JSON.parse(line) as WatchEvent;
    }
  }

  /**
   * Sends to one replica after another until one answers. A change carries its change id, so a
   * resend after a lost answer is harmless.
   */
  private async send(options: SendOptions): Promise<ApiAnswer> {
    let lastError: unknown;
    let lastAnswer: ApiAnswer | undefined;
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      for (const origin of this.options.origins) {
        try {
          const answer = await this.sendFollowing(origin, options);
          if (answer.status !== STATUS_UNAVAILABLE) return answer;
          lastAnswer = answer;
        } catch (error) {
          lastError = error;
        }
      }
      await pause(ROUND_PAUSE_MS);
    }
    if (lastAnswer !== undefined) return lastAnswer;
    throw noAnswer(lastError);
  }

  private async sendFollowing(origin: string, options: SendOptions): Promise<ApiAnswer> {
    let url = origin + options.path;
    for (let redirects = 0; redirects <= MAX_REDIRECTS; redirects += 1) {
      const response = await request(url, {
        method: options.method,
        headers: { ...this.authorization(), ...options.headers },
        body: options.body,
        signal: AbortSignal.timeout(this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
      });
      const text = await response.body.text();
      const location = response.headers.location;
      if (response.statusCode !== STATUS_REDIRECT || typeof location !== 'string') {
        return { status: response.statusCode, body: parseBody(text) };
      }
      url = location;
    }
    return { status: STATUS_UNAVAILABLE, body: undefined };
  }

  private authorization(): Record<string, string> {
    return { authorization: `Bearer ${this.options.token}` };
  }
}

function dryRunQuery(change: ChangeOptions): string {
  return change.dryRun === true ? '?dryRun=true' : '';
}

function changeHeaders(change: ChangeOptions): Record<string, string> {
  const headers: Record<string, string> = {
    'idempotency-key': change.changeId,
    'content-type': 'application/json',
  };
  if (change.expect === 'absent') headers['if-none-match'] = '*';
  else if (change.expect !== undefined) headers['if-match'] = `"${change.expect}"`;
  return headers;
}

function parseBody(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}

function expectOk(answer: ApiAnswer): unknown {
  if (answer.status === 200) return answer.body;
  throw new RequestError(`control answered ${answer.status}`, {
    props: { status: answer.status, verdict: 'not-run' },
  });
}

function noAnswer(cause: unknown): RequestError {
  const props: RequestErrorProps = { status: 0, verdict: 'may-have-run' };
  return new RequestError('no control replica answered', { cause, props });
}

async function pause(delayMs: number): Promise<void> {
  await new Promise<void>((resolve) => setTimeout(resolve, delayMs));
}
