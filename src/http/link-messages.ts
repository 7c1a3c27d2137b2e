/**
 * Messages between the system's own processes: msgpack over HTTP with the link token.
 *
 * For: control, followers and the claims of nodes; calls between sidecars go over `src/link`. Owns: how a message is sent,
 * read and answered. Relies on: the message codec, and on each kind of message for its limits and its token's header.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { request, type Dispatcher } from 'undici';
import { decodeMessage, encodeMessage, MSGPACK_TYPE } from '../common/message-codec.js';
import { isSameToken } from './link-token.js';
import { readRequestBody, type BodyLimits } from './request-body.js';

/** How a message is sent. */
interface PostOptions {
  readonly dispatcher: Dispatcher;
  /** Headers besides the content type. */
  readonly headers: Readonly<Record<string, string>>;
  readonly signal: AbortSignal;
  /** Called with the number of bytes of the answer that have just arrived. */
  readonly onReceived?: (bytes: number) => void;
}

/** A whole answer. */
interface PostAnswer {
  readonly status: number;
  readonly bytes: Buffer;
}

/**
 * Sends a message and reads the whole answer.
 * @throws when the connection fails or `signal` ends the exchange
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

/** Reads a whole body. */
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

/** Whether a request carries the deployment's link token as bearer token. */
export function isLinkRequest(message: IncomingMessage, linkToken: string): boolean {
  return isSameToken(message.headers.authorization ?? '', `Bearer ${linkToken}`);
}

/** Reads a whole msgpack body; undefined when it was not taken or can't be decoded. */
export async function readMessage<Message>(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<Message | undefined> {
  const bytes = await new Promise<Buffer | undefined>((resolve) => {
    readRequestBody(message, limits, (body) => {
      resolve(body?.content instanceof Buffer ? body.content : undefined);
    });
  });
  if (bytes === undefined) return undefined;
  try {
    return decodeMessage<Message>(bytes);
  } catch {
    // Not msgpack: whoever reads the message answers with status 400.
    return undefined;
  }
}

/** Writes a msgpack answer. */
export function writeMessage(response: ServerResponse, message: unknown): void {
  const bytes = encodeMessage(message);
  response.writeHead(200, { 'Content-Type': MSGPACK_TYPE, 'Content-Length': bytes.length });
  response.end(bytes);
}

/** Ends a request with a bare status. */
export function writeStatus(response: ServerResponse, status: number): void {
  response.writeHead(status, { 'Content-Length': 0 });
  response.end();
}
