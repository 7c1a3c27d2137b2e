/**
 * A sidecar's connections to the present incarnation of its target; a new one gets new ones.
 *
 * For: the gate. Owns: the pool in use, and how long this incarnation usually takes to begin an answer. Relies on:
 * `target-lease.ts` for which incarnation that is, and on the gate to tell of requests that it gave up.
 */
import type { Dispatcher, Pool } from 'undici';
import type { Clock } from '../common/clock.js';
import { incarnationName } from './incarnation.js';
import type { TargetReport } from './target-lease.js';
import { CONNECT_TIMEOUT_MS, createPool } from '../http/connection-pools.js';
import { AnswerTimes } from '../http/answer-times.js';
import { ResetWatch } from '../http/reset-watch.js';

/**
 * Idle connections are closed after this long, in milliseconds: before targets that say nothing of their own limit close
 * them. Below the 5 s that HTTP servers of Node.js keep them by default.
 */
const IDLE_MS = 4_000;
/** Most connections to a target until the service's declaration is known. */
const DEFAULT_CONNECTIONS = 100;
/** Least time from one exchange of connections to the next, in milliseconds: a target may just be slow. */
const MIN_REPLACE_INTERVAL_MS = 2_000;

/** Where the next call goes. */
export interface TargetConnection {
  readonly dispatcher: Dispatcher;
  readonly instance: string;
  /** Name of the incarnation. */
  readonly incarnation: string;
  /** Whether an answer that ends now was cut off by a reset. */
  readonly isResetting: () => boolean;
  readonly answerTimes: AnswerTimes;
  /** A request was given up that had waited this long for its answer, in milliseconds. */
  readonly onUnanswered: (waitedMs: number) => void;
}

export class InstancePool {
  private pool: Pool | undefined;
  /** Name of the incarnation that the connections lead to. */
  private incarnation = '';
  private connections = DEFAULT_CONNECTIONS;
  private readonly resets = new ResetWatch(CONNECT_TIMEOUT_MS);
  private answerTimes = new AnswerTimes();
  /** When idle connections were last given up, on the clock, in milliseconds. */
  private lastReplacedAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Connections to the target with this report; undefined when there is none. */
  target(report: TargetReport | undefined): TargetConnection | undefined {
    if (report === undefined) return undefined;
    if (this.pool === undefined || this.incarnation !== incarnationName(report)) {
      this.open(report);
    }
    const isResetting = (): boolean => this.resets.isResetting;
    const { answerTimes } = this;
    const onUnanswered = (waitedMs: number): void => this.onUnanswered(report, waitedMs);
    return {
      dispatcher: this.pool!,
      instance: report.instance,
      incarnation: this.incarnation,
      isResetting,
      answerTimes,
      onUnanswered,
    };
  }

  /** Adopts a changed number of connections, for the next incarnation and for calls from now on. */
  configure(connections: number): void {
    if (connections === this.connections) return;
    this.connections = connections;
    this.replace(undefined);
  }

  /** Ends every connection at once. */
  async destroy(): Promise<void> {
    await this.pool?.destroy();
    this.pool = undefined;
  }

  /**
   * Open connections may fall silent for good while new ones work, all at the same time; each that is idle then would
   * lose the next request that is sent on it. So the idle ones are given up with the first such loss.
   */
  private onUnanswered(report: TargetReport, waitedMs: number): void {
    const now = this.clock.now();
    if (incarnationName(report) !== this.incarnation) return;
    if (!this.answerTimes.isSuspicious(waitedMs)) return;
    if (now - this.lastReplacedAt < MIN_REPLACE_INTERVAL_MS) return;
    this.lastReplacedAt = now;
    this.open(report);
  }

  private open(report: TargetReport): void {
    const incarnation = incarnationName(report);
    if (incarnation !== this.incarnation) this.answerTimes = new AnswerTimes();
    this.incarnation = incarnation;
    const { connections, resets } = this;
    const options = { connections, keepAliveMs: IDLE_MS, connector: resets.connector };
    this.replace(createPool(`http://${report.address}`, options));
  }

  /** Calls under way finish on their connections. */
  private replace(pool: Pool | undefined): void {
    void this.pool?.close();
    this.pool = pool;
  }
}
