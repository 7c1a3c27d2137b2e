/**
 * The connection pool of a sidecar to the current incarnation of its target. The pool is replaced when the incarnation
 * changes, and when its idle connections appear to be dead.
 */
import type { Dispatcher, Pool } from 'undici';
import type { Clock } from '../common/clock.js';
import type { HeldTarget } from './target-lease.js';
import { CONNECT_TIMEOUT_MS, createPool } from '../http/connection-pools.js';
import { ResponseTimeAverage } from '../http/response-time-average.js';
import { ConnectionResetDetector } from '../http/connection-reset-detector.js';

/**
 * Time after which idle connections are closed, in milliseconds. Below the default keep-alive timeout of Node.js HTTP
 * servers (5 s), so that no request is sent on a connection that the target is closing.
 */
const IDLE_MS = 4_000;
/** Maximum number of connections to a target until the service's declaration is known. */
const DEFAULT_CONNECTIONS = 100;
/** Minimum time between two replacements of suspect connections, in milliseconds, as the target may merely be slow. */
const MIN_REPLACE_INTERVAL_MS = 2_000;

/** The connection to use for the next call. */
export interface TargetConnection {
  readonly dispatcher: Dispatcher;
  readonly instance: string;
  /** Name of the incarnation; see {@link HeldTarget}. */
  readonly incarnation: string;
  /** Whether a response that ends now was truncated by a connection reset. */
  readonly isResetting: () => boolean;
  readonly responseTimes: ResponseTimeAverage;
  /** Reports that a request was aborted after waiting this many milliseconds for its response. */
  readonly onUnanswered: (waitedMs: number) => void;
}

/** Provides the connections to the current incarnation of a target. */
export class TargetConnectionPool {
  private pool: Pool | undefined;
  /** Name of the incarnation that the pool is connected to. */
  private incarnation = '';
  private connections = DEFAULT_CONNECTIONS;
  private readonly resets = new ConnectionResetDetector(CONNECT_TIMEOUT_MS);
  private responseTimes = new ResponseTimeAverage();
  /** When suspect connections were last replaced, in milliseconds on the clock. */
  private lastReplacedAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Returns the connection to the target of this report; undefined if there is no report. */
  getConnection(report: HeldTarget | undefined): TargetConnection | undefined {
    if (report === undefined) return undefined;
    if (this.pool === undefined || this.incarnation !== report.incarnation) {
      this.open(report);
    }
    const isResetting = (): boolean => this.resets.isResetting;
    const { responseTimes } = this;
    const onUnanswered = (waitedMs: number): void => this.onUnanswered(report, waitedMs);
    return {
      dispatcher: this.pool!,
      instance: report.instance,
      incarnation: this.incarnation,
      isResetting,
      responseTimes,
      onUnanswered,
    };
  }

  /** Sets the maximum number of connections; a change takes effect for new calls. */
  configure(connections: number): void {
    if (connections === this.connections) return;
    this.connections = connections;
    this.replace(undefined);
  }

  /** Closes all connections immediately, aborting requests in flight. */
  async destroy(): Promise<void> {
    await this.pool?.destroy();
    this.pool = undefined;
  }

  /**
   * All established connections may stop responding at the same time while new ones work. Replacing the pool after the first
   * unanswered request prevents the loss of further requests on idle connections.
   */
  private onUnanswered(report: HeldTarget, waitedMs: number): void {
    const now = this.clock.now();
    if (report.incarnation !== this.incarnation) return;
    if (!this.responseTimes.isSuspicious(waitedMs)) return;
    if (now - this.lastReplacedAt < MIN_REPLACE_INTERVAL_MS) return;
    this.lastReplacedAt = now;
    this.open(report);
  }

  private open(report: HeldTarget): void {
    const { incarnation } = report;
    if (incarnation !== this.incarnation) this.responseTimes = new ResponseTimeAverage();
    this.incarnation = incarnation;
    const { connections, resets } = this;
    const options = { connections, keepAliveMs: IDLE_MS, connector: resets.connector };
    this.replace(createPool(`http://${report.address}`, options));
  }

  /** Replaces the pool; calls in flight finish on the connections of the previous one. */
  private replace(pool: Pool | undefined): void {
    void this.pool?.close();
    this.pool = pool;
  }
}
