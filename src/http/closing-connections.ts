/**
 * Connections of callers that end with a response that is not yet written. Node.js goes on to parse the requests that follow
 * on them, although it can't send their responses any more (RFC 9112, section 9.6).
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

const closing = new WeakSet<Socket>();

/** Closes the connection after this response; requests that follow on it must not be handled. */
export function closeAfterResponse(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  closing.add(response.req.socket);
}

/** Whether the connection of a request ends with an earlier response. The request gets no response, and must not be forwarded. */
export function isBehindLastResponse(message: IncomingMessage): boolean {
  return closing.has(message.socket);
}
