/** A target over HTTP that announces a rate limit or its shutdown in every answer, and records when requests arrive. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { mostInWindow } from './most-in-window.js';

const HEADERS = DEFAULT_TARGET_HEADERS;
const HEALTH_PATH = '/health';
const SLOTS = 16;

export class AnnouncingTarget {
  /** Times of arrival of requests, without health checks, in monotonic milliseconds. */
  readonly arrivals: number[] = [];
  /** Rate limit to announce, as it stands in the header; undefined for none. */
  rateLimit: string | undefined;
  isLeaving = false;
  /** Time that a request takes, in milliseconds. */
  workMs = 20;

  private constructor(
    readonly instance: string,
    private readonly server: Server,
  ) {}

  static async start(instance: string): Promise<AnnouncingTarget> {
    const server = createServer();
    const target = new AnnouncingTarget(instance, server);
    server.on('request', (message, response) => target.handle(message, response));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return target;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  get slots(): number {
    return SLOTS;
  }

  /** Largest number of arrivals in any window after a time, both in milliseconds. */
  mostArrivals(windowMs: number, from = 0): number {
    const arrivals = this.arrivals.filter((at) => at >= from);
    return mostInWindow(arrivals, windowMs);
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(message: IncomingMessage, response: ServerResponse): void {
    message.resume();
    if (message.url === HEALTH_PATH) {
      this.announce(response);
      const headers = { [HEADERS.instanceId]: this.instance, [HEADERS.load]: `0,0,${SLOTS}` };
      response.writeHead(this.isLeaving ? 503 : 200, headers).end();
      return;
    }
    this.arrivals.push(performance.now());
    response.setHeader(HEADERS.requestId, String(message.headers[HEADERS.requestId]));
    setTimeout(() => {
      this.announce(response);
      response.writeHead(200).end('whole');
    }, this.workMs);
  }

  private announce(response: ServerResponse): void {
    if (this.rateLimit !== undefined) response.setHeader(HEADERS.rateLimit, this.rateLimit);
    if (this.isLeaving) response.setHeader(HEADERS.leaving, '1');
  }
}
