/**
 * An HTTP server with shoredoor's limits on slow or malformed requests.
 *
 * For: every HTTP port of every program. Owns: the listening socket, the limits on heads and idle connections, and the
 * answer to what is not HTTP. Relies on: its listener for everything about whole requests; deadlines of calls are not
 * its matter.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { listen, type ListenAddress } from './listen.js';

/** Largest head of a request that is taken, in bytes: the engine's own default. */
const MAX_HEADER_BYTES = 16 * 1024;
/** Longest time for the head of a request to arrive, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Longest time for a whole request to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 120_000;
/** Longer than the keep-alive of our own clients, so that they close idle connections first. In milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
/** Interval between two looks for connections over these limits, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 2_000;

/** What clients may send, where it differs from shoredoor's own limits. */
export interface ServerLimits {
  readonly maxHeaderBytes?: number;
}

const CLIENT_ERROR_STATUS: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const BAD_REQUEST = '400 Bad Request';

/** Answers a request that could not be parsed. Nothing of it is repeated in the answer. */
function answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const status = CLIENT_ERROR_STATUS[error.code ?? ''] ?? BAD_REQUEST;
  const body = JSON.stringify({
    type: 'urn:shoredoor:problem:bad-request',
    title: status.slice(4),
    status: Number(status.slice(0, 3)),
    verdict: 'not-run',
  });
  socket.end(
    `HTTP/1.1 ${status}\r\nContent-Type: application/problem+json\r\n` +
      `Content-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`,
  );
}

export class ListeningServer {
  private constructor(
    private readonly server: Server,
    /** `http://ADDRESS:PORT` that the server listens on. */
    readonly origin: string,
  ) {}

  /** Starts listening. @throws when the address cannot be had */
  static async start(
    address: ListenAddress,
    listener: RequestListener,
    limits: ServerLimits = {},
  ): Promise<ListeningServer> {
    const server = createServer(
      {
        maxHeaderSize: limits.maxHeaderBytes ?? MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        noDelay: true,
      },
      listener,
    );
    server.on('clientError', answerClientError);
    return new ListeningServer(server, await listen(server, address));
  }

  /** Adopts changed time limits, for requests that begin from now on. */
  setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Takes no new connections, and resolves when the last open one has ended. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Ends every connection at once. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
