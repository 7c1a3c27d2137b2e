/** The clients of a soak: they send requests to the sidecar of each machine over keep-alive connections. */
import { Agent, request } from 'undici';
import { sampleExponential, type RandomSource } from '../../src/common/random.js';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { failedExchange, readResponse, type ExchangeResult } from './exchange-result.js';
import type { SoakMachine } from './soak-fleet.js';
import { PLACE_PATH, READ_PATH, SOAK_HOST } from './soak-operator.js';
import type { SoakRecord } from './soak-record.js';

const MS_PER_SECOND = 1_000;
const AT_MOST_ONCE_RATIO = 0.3;
/** With unique requests, every n-th request has a path of its own. */
const UNIQUE_EVERY = 3;

/** State shared by the clients of a run. */
export interface ClientContext {
  readonly random: RandomSource;
  readonly record: SoakRecord;
  readonly now: () => number;
  readonly isOver: () => boolean;
  /** Client timeout, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether some requests have a path that no other request has. */
  readonly hasUniqueRequests: boolean;
}

export class SoakClients {
  private readonly agent = new Agent({ keepAliveTimeout: 10_000 });
  private sent = 0;

  constructor(
    private readonly context: ClientContext,
    private readonly machine: SoakMachine,
    private readonly perSecond: number,
  ) {}

  /** Sends requests at random intervals until the run is over. */
  start(): void {
    const gapMs = sampleExponential(this.context.random, MS_PER_SECOND / this.perSecond);
    setTimeout(() => {
      if (this.context.isOver()) return;
      this.start();
      void this.send();
    }, gapMs);
  }

  async end(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(): Promise<void> {
    const { random, record, now, deadlineMs } = this.context;
    const { index: machine, outbound } = this.machine;
    const isAtMostOnce = random.next() < AT_MOST_ONCE_RATIO;
    const id = `c${machine}-${(this.sent += 1)}`;
    const sentAt = now();
    if (isAtMostOnce) record.onAtMostOnceSent(id);
    const last = this.context.hasUniqueRequests && this.sent % UNIQUE_EVERY === 0 ? id : '1';
    const answer = await this.exchange(
      `${outbound}${isAtMostOnce ? PLACE_PATH : READ_PATH}${last}`,
      {
        id,
        isAtMostOnce,
      },
    );
    const endedAt = now();
    record.onRequestEnded({ id, machine, isNested: false, deadlineMs, sentAt, endedAt, ...answer });
  }

  private async exchange(
    url: string,
    { id, isAtMostOnce }: { id: string; isAtMostOnce: boolean },
  ): Promise<ExchangeResult> {
    const { deadlineMs } = this.context;
    try {
      const response = await request(url, {
        dispatcher: this.agent,
        method: isAtMostOnce ? 'POST' : 'GET',
        headers: {
          host: SOAK_HOST,
          [DEFAULT_TARGET_HEADERS.requestId]: id,
          [DEFAULT_TARGET_HEADERS.deadlineMs]: String(deadlineMs),
        },
        body: isAtMostOnce ? 'an order' : null,
        signal: AbortSignal.timeout(deadlineMs),
      });
      return await readResponse(response);
    } catch (error) {
      return failedExchange(error);
    }
  }
}
