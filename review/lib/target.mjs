/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- types of plain JavaScript stand in JSDoc */
/**
 * A target as the users' pages describe it: runs `slots` requests at the same time, queues a few more and turns the others
 * away with `X-Not-Executed`, repeats the request id, signs its answers, drops a request whose connection closes, and sends
 * heartbeats to the sidecar of its machine.
 */
import { createServer } from 'node:http';
import { finished } from 'node:stream/promises';
import { setTimeout as sleep } from 'node:timers/promises';

/** Interval between heartbeats, in milliseconds. */
const HEARTBEAT_MS = 1_500;
const BODY = 'the bytes of the target';

/**
 * @typedef {object} TargetOptions
 * @property {number} slots
 * @property {number} queue
 * @property {number} workMs
 * @property {((message: import('node:http').IncomingMessage) => Promise<number>) | undefined} [readBody] reads the body of
 *   a request and returns its size; all at once by default
 */

/** @typedef {TargetOptions & { id: string, service: string, address: string, registration: string }} RunningOptions */

export class Target {
  running = 0;
  /** @type {(() => void)[]} */
  waiting = [];
  /** How often each request was run, by its id. */
  runs = /** @type {Map<string, number>} */ (new Map());
  /** Requests that are being worked on. */
  atWork = /** @type {Set<string>} */ (new Set());
  isAcknowledged = false;
  sequence = 0;
  isStopped = false;
  /** Whether the target has said that it leaves. */
  isLeaving = false;
  /** Arrivals of requests, without health checks, in milliseconds of the record. */
  arrivals = /** @type {{ at: number, id: string }[]} */ ([]);
  server = createServer((message, response) => void this.handle(message, response));

  /**
   * @param {RunningOptions} options
   * @param {import('./record.mjs').Record} record
   */
  constructor(options, record) {
    this.options = options;
    this.record = record;
  }

  async listen() {
    const [host, port] = this.options.address.split(':');
    this.server.keepAliveTimeout = 10_000;
    await new Promise((resolve) =>
      this.server.listen(Number(port), host, () => resolve(undefined)),
    );
    void this.report();
  }

  stop() {
    this.isStopped = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  get load() {
    return `${this.running},${this.waiting.length},${this.options.slots}`;
  }

  async report() {
    while (!this.isStopped && !this.isLeaving) {
      this.isAcknowledged = (await this.heartbeat()) || this.isAcknowledged;
      await sleep(this.isAcknowledged ? HEARTBEAT_MS : 200);
    }
  }

  /**
   * Sends a heartbeat.
   * @param {number} lateMs how late it arrives
   */
  async heartbeat(lateMs = 0) {
    const { id, service, address, slots } = this.options;
    this.sequence += 1;
    const body = JSON.stringify({
      service,
      address,
      zone: 'zone-a',
      version: 'v1',
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: this.sequence,
    });
    if (lateMs > 0) {
      this.record.add(`HEARTBEAT ${this.sequence} of ${id} sent, ready; arrives ${lateMs} ms late`);
      await sleep(lateMs);
    }
    const status = await this.call('PUT', body);
    if (lateMs > 0) this.record.add(`HEARTBEAT of ${id}, late, answered ${status}`);
    return status === 200;
  }

  /** Says that the target leaves. It goes on serving what it gets. */
  async leave() {
    this.isLeaving = true;
    const status = await this.call('DELETE', undefined);
    this.record.add(`LEAVE of ${this.options.id} answered ${status}`);
    return status === 200;
  }

  /** Ends the target: requests in it are cut off. */
  end() {
    this.record.add(`END of ${this.options.id}, ${this.atWork.size} requests in it`);
    this.stop();
  }

  /**
   * Calls the sidecar of the machine.
   * @param {string} method
   * @param {string | undefined} body
   */
  async call(method, body) {
    try {
      const headers = body === undefined ? {} : { 'content-type': 'application/json' };
      const signal = AbortSignal.timeout(1_000);
      const url = `http://${this.options.registration}/v1/instances/${this.options.id}`;
      const response = await fetch(url, {
        method,
        headers,
        signal,
        ...(body !== undefined && { body }),
      });
      await response.text();
      return response.status;
    } catch {
      return 0;
    }
  }

  /**
   * @param {import('node:http').IncomingMessage} message
   * @param {import('node:http').ServerResponse} response
   */
  async handle(message, response) {
    const { id, slots, queue, workMs } = this.options;
    const requestId = String(message.headers['x-request-id'] ?? '');
    response.setHeader('x-server-load', this.load);
    if (message.url === '/health') {
      message.resume();
      response.writeHead(this.isLeaving ? 503 : 200, { 'x-instance-id': id }).end();
      return;
    }
    response.setHeader('x-request-id', requestId);
    if (this.isLeaving) response.setHeader('connection', 'close');
    const expected = message.headers['x-expected-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'x-instance-id': id, connection: 'close' }).end();
      return;
    }
    this.arrivals.push({ at: this.record.now, id: requestId });
    if (this.running >= slots && this.waiting.length >= queue) {
      message.resume();
      response.writeHead(503, { 'x-not-executed': '1' }).end();
      return;
    }
    if (this.running >= slots)
      await new Promise((resolve) => this.waiting.push(() => resolve(undefined)));
    if (response.destroyed) {
      this.next();
      return;
    }
    this.running += 1;
    this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    this.atWork.add(requestId);
    this.record.add(`RUN ${requestId} at ${id}`);
    try {
      const bytes = await (this.options.readBody ?? readAll)(message);
      await sleep(workMs);
      response.setHeader('x-response-signature', `${id}.${requestId}.${bytes}`);
      response.writeHead(200, { 'content-length': Buffer.byteLength(BODY) }).end(BODY);
      this.record.add(`DONE ${requestId} at ${id}, ${bytes} bytes read`);
    } catch {
      this.record.add(`DROPPED ${requestId} at ${id}: its connection closed`);
    }
    this.running -= 1;
    this.atWork.delete(requestId);
    this.next();
  }

  next() {
    this.waiting.shift()?.();
  }
}

/**
 * Reads a body as fast as it comes.
 * @param {import('node:http').IncomingMessage} message
 */
async function readAll(message) {
  let bytes = 0;
  message.on('data', (/** @type {Buffer} */ chunk) => {
    bytes += chunk.length;
  });
  await finished(message);
  return bytes;
}
