/**
 * A target as the pages describe it: works on requests, checks the expected instance, answers health checks, sends heartbeats
 * to the sidecar of its machine, and leaves.
 */
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';

const HEARTBEAT_MS = 1_500;
const ACKNOWLEDGED_WITHIN_MS = 1_000;

/** A request that reached a target. */
export interface Arrival {
  /** Milliseconds since 1970. */
  readonly at: number;
  readonly id: string;
  readonly path: string;
  /** Whether the target began to work on it; otherwise it said that it did not. */
  readonly ran: boolean;
  readonly callingService: string;
}

export interface TargetOptions {
  readonly instance: string;
  readonly service: string;
  /** The address that the target reports. */
  readonly address: string;
  /** Address of the sidecar of its machine for reports. */
  readonly registration: string;
  readonly slots: number;
  readonly workMs: number;
}

export class Target {
  readonly arrivals: Arrival[] = [];
  readonly options: TargetOptions;
  /** Sequence number of the last heartbeat. */
  sequence = 0;
  private isLeaving = false;
  private running = 0;
  private timer: NodeJS.Timeout | undefined;
  private readonly born = Date.now();
  private readonly server = createServer((message, response) => this.handle(message, response));

  constructor(options: TargetOptions) {
    this.options = options;
  }

  /** Listens and begins to send heartbeats. */
  async start(listenAddress: string): Promise<void> {
    const [host, port] = listenAddress.split(':');
    await new Promise<void>((done) => this.server.listen(Number(port), host, done));
    void this.heartbeat();
    this.timer = setInterval(() => void this.heartbeat(), HEARTBEAT_MS);
  }

  stopHeartbeats(): void {
    clearInterval(this.timer);
  }

  /**
   * Leaves without reporting a draining state first; keeps serving until {@link end}.
   * @returns status of the answer, 0 for none
   */
  leave(): Promise<number> {
    this.isLeaving = true;
    this.stopHeartbeats();
    return this.report('DELETE', { born: this.born });
  }

  /** Ends like a process that exits. */
  end(): void {
    this.stopHeartbeats();
    this.server.close();
    this.server.closeAllConnections();
  }

  private heartbeat(): Promise<number> {
    const { service, address, slots } = this.options;
    this.sequence += 1;
    return this.report('PUT', {
      service,
      address,
      zone: 'zone-a',
      version: 'v1',
      slots,
      state: this.isLeaving ? 'leaving' : 'ready',
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
    });
  }

  private report(method: string, fields: object): Promise<number> {
    const body = JSON.stringify(fields);
    const headers = {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    };
    const { registration, instance } = this.options;
    const options = { method, headers, timeout: ACKNOWLEDGED_WITHIN_MS, agent: false };
    return new Promise((done) => {
      const url = `http://${registration}/v1/instances/${instance}`;
      const asked = request(url, options, (answer) => {
        answer.resume();
        done(answer.statusCode ?? 0);
      });
      asked.once('error', () => done(0));
      asked.once('timeout', () => asked.destroy());
      asked.end(body);
    });
  }

  private handle(message: IncomingMessage, response: ServerResponse): void {
    message.resume();
    const { instance, slots, workMs } = this.options;
    if (message.url === '/health') {
      response.writeHead(this.isLeaving ? 503 : 200, { 'X-Instance-Id': instance, ...this.load });
      response.end();
      return;
    }
    const id = String(message.headers['x-request-id'] ?? '');
    const expected = message.headers['x-expected-instance'];
    const isMisdirected = expected !== undefined && expected !== instance;
    const isFull = this.running >= slots;
    this.arrivals.push({
      at: Date.now(),
      id,
      path: message.url ?? '',
      ran: !isMisdirected && !isFull,
      callingService: String(message.headers['x-calling-service'] ?? ''),
    });
    if (isMisdirected) response.writeHead(421, { 'X-Request-Id': id, 'X-Instance-Id': instance });
    else if (isFull)
      response.writeHead(503, { 'X-Request-Id': id, 'X-Not-Executed': '1', ...this.load });
    if (isMisdirected || isFull) {
      response.end();
      return;
    }
    this.running += 1;
    const timer = setTimeout(() => this.answer(id, response), workMs);
    response.once('close', () => {
      clearTimeout(timer);
      this.running -= 1;
    });
  }

  private get load(): Record<string, string> {
    return { 'X-Server-Load': `${this.running},0,${this.options.slots}` };
  }

  private answer(id: string, response: ServerResponse): void {
    const { instance } = this.options;
    const body = `answer of ${instance} to ${id}`;
    response.writeHead(200, {
      'X-Request-Id': id,
      'X-Response-Signature': `${instance}.${id}`,
      ...this.load,
      'Content-Length': Buffer.byteLength(body),
      ...(this.isLeaving && { Connection: 'close' }),
    });
    response.end(body);
  }
}
