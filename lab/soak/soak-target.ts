/**
 * A target of a soak: an HTTP server in the process of the soak that simulates work, calls the next service through its
 * sidecar, records the requests it runs, and fails on demand.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { RandomSource } from '../../src/common/random.js';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { CALLS_DEADLY_PREFIX, DEADLY_PREFIX } from './deadly-client.js';
import { NestedCalls } from './nested-calls.js';
import { HEALTH_PATH } from './soak-operator.js';
import { answerBody } from './request-outcome.js';
import type { SoakRecord } from './soak-record.js';
import type { SoakService } from './soak-plan.js';

/** The failures that a target currently injects. */
export interface TargetMisbehaviour {
  /** Fraction of calls rejected without running them, 0 to 1. */
  rejectedPart: number;
  /** Fraction of responses lost after the run, 0 to 1. */
  lostPart: number;
  /** Factor by which the work takes longer. */
  slowdownFactor: number;
}

/** State shared by the targets of a run. */
export interface TargetContext {
  readonly random: RandomSource;
  readonly record: SoakRecord;
  readonly now: () => number;
  /** Ids of calls made by repeated runs; their arrivals count as repeats. */
  readonly repeatedIds: Set<string>;
  /** Ids of requests that have arrived at any target. */
  readonly seenIds: Set<string>;
  readonly host: string;
  /** Maximum timeout of calls that a target makes, in milliseconds. */
  readonly nestedDeadlineMs: number;
}

/** A request that a target is running. */
export interface TargetRun {
  readonly id: string;
  readonly isRepeat: boolean;
  readonly response: ServerResponse;
  readonly deadlineAt: number;
  /** Last path segment of the calls that it makes. */
  readonly callSegment: string;
}

export interface TargetOptions {
  readonly machine: number;
  readonly service: SoakService;
  /** Path prefix of the route to the next service; undefined for the last service. */
  readonly nextPath: string | undefined;
  readonly outboundOrigin: string;
  readonly port: number;
}

/** Delay from the start of a deadly request to the crash, and downtime after it, in milliseconds. */
const MIN_CRASH_DELAY_MS = 40;
const EXTRA_CRASH_DELAY_MS = 80;
const MIN_DOWN_MS = 1_500;
const EXTRA_DOWN_MS = 1_500;

const HEADERS = DEFAULT_TARGET_HEADERS;
const STATUS_OK = 200;
const STATUS_FAILED = 500;
const STATUS_FULL = 503;
const STATUS_MISDIRECTED = 421;
const STATUS_TOO_LATE = 504;

export class SoakTarget {
  private incarnation = 1;
  private isDown = false;
  readonly misbehaviour: TargetMisbehaviour = { rejectedPart: 0, lostPart: 0, slowdownFactor: 1 };
  private running = 0;
  /** Rate limit that it announces, in requests a second. */
  private rateLimit: number | undefined;
  private isLeaving = false;
  private readonly sockets = new Set<Socket>();
  private readonly calls: NestedCalls;

  private constructor(
    private readonly context: TargetContext,
    private readonly options: TargetOptions,
    private readonly server: Server,
  ) {
    this.calls = new NestedCalls(context, options);
  }

  static async start(context: TargetContext, options: TargetOptions): Promise<SoakTarget> {
    const server = createServer();
    const target = new SoakTarget(context, options, server);
    server.on('request', (message, response) => void target.handle(message, response));
    server.on('connection', (socket) => {
      target.sockets.add(socket);
      socket.once('close', () => target.sockets.delete(socket));
    });
    await target.listen();
    return target;
  }

  get instance(): string {
    return `instance-${this.options.machine}-${this.incarnation}`;
  }

  /** Listening address, as `HOST:PORT`. */
  get address(): string {
    return `127.0.0.1:${this.options.port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Whether it is down: it refuses connections and must not be reported to its sidecar. */
  get isCrashed(): boolean {
    return this.isDown;
  }

  /** Resets all connections, stays down for `downMs`, and restarts as a new incarnation at the same address. */
  async crash(downMs: number): Promise<void> {
    if (this.isDown) return;
    this.isDown = true;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    await pause(downMs);
    this.incarnation += 1;
    this.running = 0;
    this.rateLimit = undefined;
    this.isLeaving = false;
    await this.listen();
    this.isDown = false;
  }

  /** Announces a rate limit. @param perSecond undefined to lift it */
  announceLimit(perSecond: number | undefined): void {
    this.rateLimit = perSecond;
    this.context.record.announcements.onLimit(this.instance, perSecond, this.context.now());
  }

  /** Announces its shutdown in its answers for `leavingMs`, ends, and restarts after `downMs`. */
  async leave(leavingMs: number, downMs: number): Promise<void> {
    const { incarnation } = this;
    this.isLeaving = true;
    await pause(leavingMs);
    if (this.incarnation === incarnation) await this.crash(downMs);
  }

  private async listen(): Promise<void> {
    const { port } = this.options;
    await new Promise<void>((resolve) => this.server.listen(port, '127.0.0.1', resolve));
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = readLength(message);
    if (message.url === HEALTH_PATH) {
      this.answerHealthCheck(response);
      return;
    }
    const id = headerOf(message, HEADERS.requestId);
    response.setHeader(HEADERS.requestId, id);
    if (headerOf(message, HEADERS.expectedInstance) !== this.instance) {
      reject(response, STATUS_MISDIRECTED);
      return;
    }
    this.context.record.announcements.onArrival(this.instance, this.context.now());
    const isRepeat = this.countArrival(id);
    const isRejected = this.context.random.next() < this.misbehaviour.rejectedPart;
    if (isRejected || this.running >= this.options.service.slots) {
      this.announce(response);
      reject(response, STATUS_FULL);
      return;
    }
    this.context.record.onRun(id);
    const last = lastPathSegment(message.url);
    if (last.startsWith(DEADLY_PREFIX)) {
      await this.crashOn(last);
      return;
    }
    this.running += 1;
    const deadlineAt = this.context.now() + Number(headerOf(message, HEADERS.deadlineMs));
    const { incarnation } = this;
    const callSegment = last.startsWith(CALLS_DEADLY_PREFIX)
      ? last.slice(CALLS_DEADLY_PREFIX.length)
      : '1';
    const bytes = await body;
    if (bytes !== undefined) this.context.record.onBodyRead(id, bytes);
    const status = await this.run({ id, isRepeat, response, deadlineAt, callSegment });
    if (this.incarnation !== incarnation || this.isDown) return;
    this.running -= 1;
    if (this.context.random.next() < this.misbehaviour.lostPart) response.socket?.destroy();
    else {
      this.announce(response);
      response.writeHead(status).end(answerBody(id));
    }
  }

  private answerHealthCheck(response: ServerResponse): void {
    this.announce(response);
    const load = `${this.running},0,${this.options.service.slots}`;
    response.writeHead(this.isLeaving ? STATUS_FULL : STATUS_OK, { [HEADERS.load]: load }).end();
  }

  private announce(response: ServerResponse): void {
    response.setHeader(HEADERS.instanceId, this.instance);
    if (this.rateLimit !== undefined) response.setHeader(HEADERS.rateLimit, this.rateLimit);
    if (this.isLeaving) response.setHeader(HEADERS.leaving, '1');
  }

  /** Runs a deadly request and crashes. */
  private async crashOn(name: string): Promise<void> {
    const { record, random, now } = this.context;
    record.deadly.onRun(name, now());
    const { incarnation } = this;
    await pause(MIN_CRASH_DELAY_MS + random.nextInt(EXTRA_CRASH_DELAY_MS));
    if (this.incarnation !== incarnation || this.isDown) return;
    record.deadly.onCrash(name, now());
    await this.crash(MIN_DOWN_MS + random.nextInt(EXTRA_DOWN_MS));
  }

  /** Records an arrival. @returns whether it is a repeat */
  private countArrival(id: string): boolean {
    const { record, repeatedIds, seenIds, now } = this.context;
    const isRepeat = repeatedIds.has(id) || seenIds.has(id);
    seenIds.add(id);
    const { name } = this.options.service;
    if (isRepeat) record.arrivals.onRepeat(name, now());
    else record.arrivals.onRequest(name, now());
    return isRepeat;
  }

  /** Splits the work into equal parts with a call between two of them. @returns the status of the response */
  private async run(run: TargetRun): Promise<number> {
    const { callsPerRun, workMs } = this.options.service;
    const calls = this.options.nextPath === undefined ? 0 : callsPerRun;
    const partMs = (workMs * this.misbehaviour.slowdownFactor) / (calls + 1);
    if (!(await this.work(partMs, run))) return STATUS_TOO_LATE;
    for (let call = 0; call < calls && !run.response.destroyed; call += 1) {
      if (!(await this.calls.callNext(run, this.instance))) return STATUS_FAILED;
      if (!(await this.work(partMs, run))) return STATUS_TOO_LATE;
    }
    return STATUS_OK;
  }

  /** @returns whether the work finished before the deadline of the request */
  private async work(durationMs: number, { deadlineAt }: TargetRun): Promise<boolean> {
    const leftMs = deadlineAt - this.context.now();
    await new Promise((resolve) => setTimeout(resolve, Math.min(durationMs, leftMs)));
    return durationMs < leftMs;
  }
}

/** Reads a body. @returns its length in bytes; undefined if it is incomplete */
function readLength(message: IncomingMessage): Promise<number | undefined> {
  return new Promise((resolve) => {
    let bytes = 0;
    message.on('data', (chunk: Buffer) => (bytes += chunk.length));
    message.on('end', () => resolve(bytes));
    message.on('close', () => resolve(undefined));
  });
}

function reject(response: ServerResponse, status: number): void {
  response.writeHead(status, { [HEADERS.notExecuted]: '1' }).end();
}

function headerOf(message: IncomingMessage, name: string): string {
  const value = message.headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? '';
}

function lastPathSegment(url = ''): string {
  return url.slice(url.lastIndexOf('/') + 1);
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
