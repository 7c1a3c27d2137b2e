/**
 * Answers bytes of a caller that cannot be parsed as a request. Nothing more is read from their connection: a request that
 * crosses the answer would be handled although its client takes the answer for its own. For the same reason, no answer is
 * written before those of earlier requests on the connection, whose clients would take it for theirs.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Verdict } from '../common/verdict.js';
import { closeAfterResponse } from './closing-connections.js';

const CLIENT_ERROR_STATUS: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const BAD_REQUEST = '400 Bad Request';

export class UnparsableRequests {
  private readonly unanswered = new WeakMap<Socket, Set<ServerResponse>>();

  /** Records a request until its response is sent. */
  readonly onRequest = (message: IncomingMessage, response: ServerResponse): void => {
    const { socket } = message;
    const responses = this.unanswered.get(socket) ?? new Set();
    this.unanswered.set(socket, responses.add(response));
    response.once('close', () => responses.delete(response));
  };

  /** Handles `clientError` of a server. */
  readonly onError = (error: NodeJS.ErrnoException, socket: Socket): void => {
    const responses = [...(this.unanswered.get(socket) ?? [])];
    // A connection without any request gets no answer.
    const isUnused = error.code === 'ECONNRESET' || !socket.writable || socket.bytesRead === 0;
    const last = responses.filter(({ req }) => req.complete).at(-1);
    const isAnswered = last === undefined && responses.some(({ headersSent }) => headersSent);
    if (isUnused || isAnswered) {
      socket.destroy();
      return;
    }
    socket.pause();
    if (last !== undefined) {
      closeAfterResponse(last);
      last.once('close', () => socket.destroySoon());
    } else if (responses.length > 0) {
      // What failed is the body of a request that may have been forwarded.
      answer(socket, BAD_REQUEST, 'may-have-run');
    } else answer(socket, CLIENT_ERROR_STATUS[error.code ?? ''] ?? BAD_REQUEST, 'not-run');
  };
}

/** Writes an answer that echoes nothing of the request, and closes the connection. */
function answer(socket: Socket, status: string, verdict: Verdict): void {
  const body = JSON.stringify({
    type: 'urn:shoredoor:problem:bad-request',
    title: status.slice(4),
    status: Number(status.slice(0, 3)),
    verdict,
  });
  socket.end(
    `HTTP/1.1 ${status}\r\nContent-Type: application/problem+json\r\n` +
      `Content-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`,
  );
  socket.destroySoon();
}
