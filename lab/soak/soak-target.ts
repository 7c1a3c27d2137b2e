/**
 * A target of a soak: an HTTP server in the soak's own process that works on calls, makes calls of its own through
 * its sidecar, writes down what it runs, and fails as it is told.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { request } from 'undici';
import type { RandomSource } from '../../src/common/random.js';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { CALLS_DEADLY_MARK, DEADLY_MARK } from './deadly-client.js';
import { noAnswer, wholeAnswer, type ExchangeEnd } from './exchange-end.js';
import { answerBody, type SoakRecord } from './soak-record.js';
import type { SoakService } from './soak-plan.js';

/** What a target does wrong now. */
export interface TargetMisbehaviour {
  /** Part of the calls that it turns away without running them, 0 to 1. */
  rejectedPart: number;
  /** Part of the answers that are lost after the run, 0 to 1. */
  lostPart: number;
  /** Multiple of its usual work. */
  slowness: number;
}

/** What the targets of a run share. */
export interface TargetWorld {
  readonly random: RandomSource;
  readonly record: SoakRecord;
  readonly now: () => number;
  /** Requests that repeated runs have made: their arrivals are repeats. */
  readonly inherited: Set<string>;
  /** Requests that have arrived at any target. */
  readonly arrived: Set<string>;
  readonly host: string;
  /** Longest time that calls of a target are given, in milliseconds. */
  readonly nestedDeadlineMs: number;
}

/** One request that a target works on. */
interface TargetRun {
  readonly id: string;
  readonly isRepeat: boolean;
  readonly response: ServerResponse;
  readonly deadlineAt: number;
  /** Last part of the path of the calls that it makes. */
  readonly call: string;
}

/** What a target needs to know of its place. */
export interface TargetPlace {
  readonly machine: number;
  readonly service: SoakService;
  /** Path of the route that leads to the next service; undefined for the last. */
  readonly nextPath: string | undefined;
  readonly outboundOrigin: string;
}

/** How long a target runs a request that crashes it, and how long it is down then, in milliseconds. */
const LEAST_CRASH_MS = 40;
const EXTRA_CRASH_MS = 80;
const LEAST_DOWN_MS = 1_500;
const EXTRA_DOWN_MS = 1_500;

const NAMES = DEFAULT_TARGET_HEADERS;
const STATUS_OK = 200;
const STATUS_FAILED = 500;
const STATUS_FULL = 503;
const STATUS_MISDIRECTED = 421;
const STATUS_TOO_LATE = 504;

export class SoakTarget {
  private starts = 1;
  private isDown = false;
  readonly misbehaviour: TargetMisbehaviour = { rejectedPart: 0, lostPart: 0, slowness: 1 };
  private running = 0;
  private port = 0;
  private nextNested = 0;
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly world: TargetWorld,
    private readonly place: TargetPlace,
    private readonly server: Server,
  ) {}

  static async start(world: TargetWorld, place: TargetPlace): Promise<SoakTarget> {
    const server = createServer();
    const target = new SoakTarget(world, place, server);
    server.on('request', (message, response) => void target.handle(message, response));
    server.on('connection', (socket) => {
      target.sockets.add(socket);
      socket.once('close', () => target.sockets.delete(socket));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    target.port = (server.address() as AddressInfo).port;
    return target;
  }

  get instance(): string {
    return `instance-${this.place.machine}-${this.starts}`;
  }

  /** `HOST:PORT` that it serves. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Whether it says nothing, and refuses connections. */
  get isCrashed(): boolean {
    return this.isDown;
  }

  /** Ends like a process that crashes, and is back as another incarnation at the same address. */
  async crash(downMs: number): Promise<void> {
    if (this.isDown) return;
    this.isDown = true;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    await pause(downMs);
    this.starts += 1;
    this.running = 0;
    await new Promise<void>((resolve) => this.server.listen(this.port, '127.0.0.1', resolve));
    this.isDown = false;
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    message.resume();
    const id = headerOf(message, NAMES.requestId);
    response.setHeader(NAMES.requestId, id);
    if (headerOf(message, NAMES.expectedInstance) !== this.instance) {
      reject(response, STATUS_MISDIRECTED);
      return;
    }
    const isRepeat = this.countArrival(id);
    const isRejected = this.world.random.next() < this.misbehaviour.rejectedPart;
    if (isRejected || this.running >= this.place.service.slots) {
      reject(response, STATUS_FULL);
      return;
    }
    this.world.record.onRun(id);
    const last = lastPart(message.url);
    if (last.startsWith(DEADLY_MARK)) {
      await this.crashUnder(last);
      return;
    }
    this.running += 1;
    const deadlineAt = this.world.now() + Number(headerOf(message, NAMES.deadlineMs));
    const { starts } = this;
    const call = last.startsWith(CALLS_DEADLY_MARK) ? last.slice(CALLS_DEADLY_MARK.length) : '1';
    const status = await this.run({ id, isRepeat, response, deadlineAt, call });
    if (this.starts !== starts || this.isDown) return;
    this.running -= 1;
    if (this.world.random.next() < this.misbehaviour.lostPart) response.socket?.destroy();
    else response.writeHead(status).end(answerBody(id));
  }

  /** Begins a request that crashes it. */
  private async crashUnder(name: string): Promise<void> {
    const { record, random, now } = this.world;
    record.onDeadlyRun(name, now());
    const { starts } = this;
    await pause(LEAST_CRASH_MS + random.below(EXTRA_CRASH_MS));
    if (this.starts !== starts || this.isDown) return;
    record.onDeadlyCrash(name, now());
    await this.crash(LEAST_DOWN_MS + random.below(EXTRA_DOWN_MS));
  }

  /** @returns whether the arrival is a repeat */
  private countArrival(id: string): boolean {
    const { record, inherited, arrived, now } = this.world;
    const isRepeat = inherited.has(id) || arrived.has(id);
    arrived.add(id);
    const { name } = this.place.service;
    if (isRepeat) record.arrivals.onRepeat(name, now());
    else record.arrivals.onRequest(name, now());
    return isRepeat;
  }

  /** Works in as many parts as there are calls, and one more. @returns the status of the answer */
  private async run(run: TargetRun): Promise<number> {
    const { callsPerRun, workMs } = this.place.service;
    const calls = this.place.nextPath === undefined ? 0 : callsPerRun;
    const partMs = (workMs * this.misbehaviour.slowness) / (calls + 1);
    if (!(await this.work(partMs, run))) return STATUS_TOO_LATE;
    for (let call = 0; call < calls && !run.response.destroyed; call += 1) {
      if (!(await this.callNext(run))) return STATUS_FAILED;
      if (!(await this.work(partMs, run))) return STATUS_TOO_LATE;
    }
    return STATUS_OK;
  }

  /** @returns whether the work was done before the run's deadline */
  private async work(durationMs: number, { deadlineAt }: TargetRun): Promise<boolean> {
    const leftMs = deadlineAt - this.world.now();
    await new Promise((resolve) => setTimeout(resolve, Math.min(durationMs, leftMs)));
    return durationMs < leftMs;
  }

  /** @returns whether the next service answered with success */
  private async callNext({ id: parent, isRepeat, deadlineAt, call }: TargetRun): Promise<boolean> {
    const { record, inherited, now, nestedDeadlineMs } = this.world;
    const { machine } = this.place;
    const id = `${parent}/${this.instance}-${(this.nextNested += 1)}`;
    if (isRepeat) inherited.add(id);
    const sentAt = now();
    const deadlineMs = Math.max(1, Math.floor(Math.min(deadlineAt - sentAt, nestedDeadlineMs)));
    const answer = await this.exchange(id, deadlineMs, call);
    const endedAt = now();
    const isDeadly = call.startsWith(DEADLY_MARK);
    record.onEnding({
      ...{ id, machine, isNested: true, isDeadly, deadlineMs, sentAt, endedAt },
      ...answer,
    });
    return answer.status === STATUS_OK;
  }

  private async exchange(id: string, deadlineMs: number, call: string): Promise<ExchangeEnd> {
    const { outboundOrigin, nextPath } = this.place;
    try {
      const response = await request(`${outboundOrigin}${nextPath}${call}`, {
        headers: {
          host: this.world.host,
          [NAMES.requestId]: id,
          [NAMES.deadlineMs]: String(deadlineMs),
        },
        signal: AbortSignal.timeout(deadlineMs),
      });
      return await wholeAnswer(response);
    } catch (error) {
      return noAnswer(error);
    }
  }
}

function reject(response: ServerResponse, status: number): void {
  response.writeHead(status, { [NAMES.notExecuted]: '1' }).end();
}

function headerOf(message: IncomingMessage, name: string): string {
  const value = message.headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? '';
}

function lastPart(url = ''): string {
  return url.slice(url.lastIndexOf('/') + 1);
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
