/**
 * Msgpack messages over HTTP between shoredoor's own processes, authenticated with the link token: for control, followers
 * and the claims of nodes. Calls between sidecars use `src/link` instead.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { request, type Dispatcher } from 'undici';
import { decodeMessage, encodeMessage, MSGPACK_TYPE } from '../common/message-codec.js';
import { isSameToken } from './link-token.js';
import { discardBody, readRequestBody, type BodyLimits } from './request-body.js';

interface PostOptions {
  readonly dispatcher: Dispatcher;
  /** Headers besides the content type. */
  readonly headers: Readonly<Record<string, string>>;
  readonly signal: AbortSignal;
  /** Called with the size of each received chunk of the answer. */
  readonly onReceived?: (bytes: number) => void;
}

interface PostAnswer {
  readonly status: number;
  readonly bytes: Buffer;
}

/**
 * Sends a message and reads the whole answer.
 * @throws when the connection fails or `signal` is aborted
 */
export async function postMessage(
  url: string,
  message: unknown,
  { dispatcher, headers, signal, onReceived }: PostOptions,
): Promise<PostAnswer> {
  const response = await request(url, {
    dispatcher,
    method: 'POST',
    headers: { ...headers, 'content-type': MSGPACK_TYPE },
    body: encodeMessage(message),
    signal,
  });
  return { status: response.statusCode, bytes: await readBytes(response.body, onReceived) };
}

async function readBytes(
  body: AsyncIterable<Buffer>,
  onReceived: PostOptions['onReceived'],
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) {
    chunks.push(chunk);
    onReceived?.(chunk.length);
  }
  return Buffer.concat(chunks);
}

/** Whether a request carries the deployment's link token as a bearer token. */
export function isLinkRequest(message: IncomingMessage, linkToken: string): boolean {
  return isSameToken(message.headers.authorization ?? '', `Bearer ${linkToken}`);
}

/** Reads a msgpack body. Returns undefined if it exceeds the limits or cannot be decoded. */
export async function readMessage<Message>(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<Message | undefined> {
  const bytes = await new Promise<Buffer | undefined>((resolve) => {
    readRequestBody(message, limits, (body) => {
      if (body !== undefined) discardBody(body);
      resolve(body?.content instanceof Buffer ? body.content : undefined);
    });
  });
  if (bytes === undefined) return undefined;
  try {
    return decodeMessage<Message>(bytes);
  } catch {
    // Not msgpack; the server answers with status 400.
    return undefined;
  }
}

export function writeMessage(response: ServerResponse, message: unknown): void {
  const bytes = encodeMessage(message);
  response.writeHead(200, { 'Content-Type': MSGPACK_TYPE, 'Content-Length': bytes.length });
  response.end(bytes);
}

/** Writes a response without a body. */
export function writeStatus(response: ServerResponse, status: number): void {
  response.writeHead(status, { 'Content-Length': 0 });
  response.end();
}
