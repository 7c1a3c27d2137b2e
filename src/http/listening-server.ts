/**
 * HTTP server with shoredoor's limits on request heads, slow requests and idle connections, for every HTTP port. Answers
 * requests that cannot be parsed. Deadlines of calls are enforced elsewhere.
 */
import { createServer, type RequestListener, type Server } from 'node:http';
import { listen, type ListenAddress, type ListenContext } from './listen.js';
import { UnparsableRequests } from './unparsable-requests.js';

/** Maximum size of a request head, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;
/** Timeout for receiving a request head, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Timeout for receiving a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 120_000;
/**
 * Keep-alive timeout, in milliseconds. Longer than that of shoredoor's own clients, so that they close idle connections
 * first.
 */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
/** Interval between checks for connections that exceed these timeouts, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 2_000;

/** Limits of a server that override the defaults. */
export interface ServerLimits {
  readonly maxHeaderBytes?: number;
}

export class ListeningServer {
  private constructor(
    private readonly server: Server,
    /** The bound address, as `http://ADDRESS:PORT`. */
    readonly origin: string,
  ) {}

  /** Starts listening. @throws ListenError when the address cannot be bound */
  static async start(
    address: ListenAddress,
    listener: RequestListener,
    context?: ListenContext,
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
    const unparsable = new UnparsableRequests();
    server.prependListener('request', unparsable.onRequest);
    server.on('clientError', unparsable.onError);
    return new ListeningServer(server, await listen(server, address, context));
  }

  /** Sets the timeouts of requests that begin from now on, in milliseconds. */
  setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Stops accepting connections and resolves when the last open one has closed. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Closes all connections immediately. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
