/** Plain HTTP endpoints for tests: a server that records requests, and a client that sends given bytes. */
import { once } from 'node:events';
import { request, type IncomingMessage, type OutgoingHttpHeaders } from 'node:http';
import { startTarget, type Cleanup } from '../support/processes.js';

/** A received request. */
export interface ArrivedRequest {
  readonly method: string;
  readonly path: string;
  /** `name: value`, in the order and letter case received. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A received response. */
export interface ArrivedAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** The response to every request. */
export interface FixedAnswer {
  readonly status: number;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: Uint8Array;
}

/** Headers set by the HTTP libraries, which vary between runs or versions of Node.js. */
const LIBRARY_HEADERS: ReadonlySet<string> = new Set([
  'host',
  'connection',
  'date',
  'keep-alive',
  'content-length',
  'transfer-encoding',
]);

/** Starts a server that records requests in `arrived` and responds with `answer`. @returns its origin */
export function startRecorder(
  cleanup: Cleanup,
  arrived: ArrivedRequest[],
  answer: () => FixedAnswer,
): Promise<string> {
  return startTarget(cleanup, (message, response) => {
    void bodyOf(message).then((body) => {
      const { method, url, rawHeaders } = message;
      arrived.push({ method: method!, path: url!, headers: ownHeaders(rawHeaders), body });
      const { status, headers = {}, body: bytes } = answer();
      response.writeHead(status, headers);
      response.end(bytes);
    });
  });
}

/** Sends bytes by POST and resolves with the response. */
export async function post(
  origin: string,
  path: string,
  headers: OutgoingHttpHeaders,
  body: Uint8Array,
): Promise<ArrivedAnswer> {
  const sent = request(origin + path, { method: 'POST', headers, agent: false });
  sent.end(body);
  const [message] = (await once(sent, 'response')) as [IncomingMessage];
  const bytes = await bodyOf(message);
  return { status: message.statusCode!, headers: ownHeaders(message.rawHeaders), body: bytes };
}

async function bodyOf(message: AsyncIterable<Buffer>): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Returns the headers that are not set by the HTTP libraries. */
function ownHeaders(raw: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!;
    if (!LIBRARY_HEADERS.has(name.toLowerCase())) kept.push(`${name}: ${raw[index + 1]}`);
  }
  return kept;
}
