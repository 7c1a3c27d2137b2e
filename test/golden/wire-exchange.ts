/** Plain HTTP at both ends of a link: a server that keeps what a client sent, and a client that sends given bytes. */
import { once } from 'node:events';
import { request, type IncomingMessage, type OutgoingHttpHeaders } from 'node:http';
import { startTarget, type Cleanup } from '../support/processes.js';

/** A request as it arrived. */
export interface ArrivedRequest {
  readonly method: string;
  readonly path: string;
  /** `name: value` in the order and spelling of the wire. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** An answer as it arrived. */
export interface ArrivedAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** What a server answers to everything. */
export interface FixedAnswer {
  readonly status: number;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: Uint8Array;
}

/** Set by the HTTP libraries; they differ from run to run, or between versions of the engine. */
const LIBRARY_HEADERS: ReadonlySet<string> = new Set([
  'host',
  'connection',
  'date',
  'keep-alive',
  'content-length',
  'transfer-encoding',
]);

/** Starts a server that keeps each request in `arrived` and answers what `answer` gives. @returns its origin */
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

/** Sends bytes by POST and resolves with the answer. */
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

/** The headers that our own code sets. */
function ownHeaders(raw: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!;
    if (!LIBRARY_HEADERS.has(name.toLowerCase())) kept.push(`${name}: ${raw[index + 1]}`);
  }
  return kept;
}
