/**
 * The clients of a soak that send long request bodies: with a length or in chunks, at once or in parts with pauses, over
 * keep-alive connections. Some leave before they have got a response.
 */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http';
import { sampleExponential, type RandomSource } from '../../src/common/random.js';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import type { ExchangeResult } from './exchange-result.js';
import type { ClientContext } from './soak-clients.js';
import type { SoakMachine } from './soak-fleet.js';
import { SOAK_HOST, UPLOAD_PATH } from './soak-operator.js';
import type { UploadLoad } from './soak-plan.js';

const MS_PER_SECOND = 1_000;
const MAX_CONNECTIONS = 64;
const CHUNKED_PART = 0.5;
const PAUSING_PART = 0.5;
const MAX_PARTS = 8;
const MAX_PAUSE_MS = 150;

/** How one upload is sent. */
interface UploadShape {
  readonly bytes: number;
  readonly isChunked: boolean;
  readonly parts: number;
  /** Pause between two parts, in milliseconds. */
  readonly pauseMs: number;
  /** Time after which the client leaves, in milliseconds; undefined if it stays. */
  readonly leaveAfterMs: number | undefined;
}

export class UploadClients {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS });
  private sent = 0;

  constructor(
    private readonly context: ClientContext,
    private readonly machine: SoakMachine,
    private readonly load: UploadLoad,
    private readonly isFaultFree: () => boolean,
  ) {}

  /** Sends bursts of uploads at random intervals, and single ones in the fault-free period, until the run is over. */
  start(): void {
    const gapMs = sampleExponential(
      this.context.random,
      (this.burst * MS_PER_SECOND) / this.load.perSecond,
    );
    setTimeout(() => {
      if (this.context.isOver()) return;
      this.start();
      const { burst } = this;
      for (let each = 0; each < burst; each += 1) void this.send();
    }, gapMs);
  }

  end(): void {
    this.agent.destroy();
  }

  /** Number of uploads that are sent together now. */
  private get burst(): number {
    return this.isFaultFree() ? 1 : this.load.burst;
  }

  private async send(): Promise<void> {
    const { random, record, now, deadlineMs } = this.context;
    const { index: machine } = this.machine;
    const id = `u${machine}-${(this.sent += 1)}`;
    const shape = drawShape(random, this.load);
    const sentAt = now();
    record.onAtMostOnceSent(id);
    record.onBodySent(id, shape.bytes);
    const result = await this.exchange(id, shape);
    // A client that has left sees no outcome.
    if (result === undefined) return;
    const endedAt = now();
    const outcome = { id, machine, isNested: false, isUpload: true, deadlineMs, sentAt, endedAt };
    record.onRequestEnded({ ...outcome, ...result });
  }

  /** @returns undefined if the client has left */
  private async exchange(id: string, shape: UploadShape): Promise<ExchangeResult | undefined> {
    const { deadlineMs } = this.context;
    const sent = request(`${this.machine.outbound}${UPLOAD_PATH}1`, {
      agent: this.agent,
      method: 'POST',
      headers: {
        host: SOAK_HOST,
        [DEFAULT_TARGET_HEADERS.requestId]: id,
        [DEFAULT_TARGET_HEADERS.deadlineMs]: String(deadlineMs),
        ...(!shape.isChunked && { 'content-length': shape.bytes }),
      },
    });
    let end: 'left' | 'timed out' | undefined;
    const endAfter = (delayMs: number, how: typeof end): NodeJS.Timeout =>
      setTimeout(() => {
        end = how;
        sent.destroy();
      }, delayMs);
    const timers = [endAfter(deadlineMs, 'timed out')];
    if (shape.leaveAfterMs !== undefined) timers.push(endAfter(shape.leaveAfterMs, 'left'));
    const result = readResult(sent);
    void writeBody(sent, shape);
    const { status, body } = await result;
    timers.forEach(clearTimeout);
    if (end === 'left') return undefined;
    const isIncomplete = status === 0 && !sent.writableFinished;
    return { status, body, hasTimedOut: end === 'timed out', isIncomplete };
  }
}

function drawShape(random: RandomSource, load: UploadLoad): UploadShape {
  const leaves = random.next() < load.leavingPart;
  return {
    bytes: 1 + random.nextInt(load.maxBytes),
    isChunked: random.next() < CHUNKED_PART,
    parts: random.next() < PAUSING_PART ? 1 : 2 + random.nextInt(MAX_PARTS - 1),
    pauseMs: random.nextInt(MAX_PAUSE_MS),
    leaveAfterMs: leaves ? random.nextInt(load.leaveWithinMs) : undefined,
  };
}

async function writeBody(sent: ClientRequest, { bytes, parts, pauseMs }: UploadShape) {
  for (let part = 0; part < parts && !sent.destroyed; part += 1) {
    const from = Math.floor((bytes * part) / parts);
    const to = Math.floor((bytes * (part + 1)) / parts);
    sent.write(Buffer.alloc(to - from, 'u'));
    if (part < parts - 1) await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
  sent.end();
}

/** Reads the response. @returns status 0 without a complete one */
function readResult(sent: ClientRequest): Promise<{ status: number; body: string }> {
  return new Promise((resolve) => {
    const fail = (): void => resolve({ status: 0, body: '' });
    sent.on('error', fail);
    sent.on('response', (response: IncomingMessage) => {
      let body = '';
      response.setEncoding('utf8');
      response.on('data', (text: string) => (body += text));
      response.on('end', () => resolve({ status: response.statusCode ?? 0, body }));
      response.on('error', fail);
    });
  });
}
