/**
 * Measures by how much the event loop of this process is late, for metrics and for the log: while one callback runs, nothing
 * else is handled. prom-client's histogram of the delay contains its sampling interval, which is longer than most delays.
 */
import type { Logger } from '../common/logger.js';

/** Interval of the timer whose lateness is measured, in milliseconds. A delay may be longer than measured by up to this. */
export const SAMPLE_INTERVAL_MS = 250;
/** Delays from this on are logged, in milliseconds: heartbeats and deadlines of calls are late by then. */
const LOGGED_DELAY_MS = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/** Times of a sample, both monotonic, in milliseconds. */
export interface EventLoopSample {
  readonly at: number;
  /** Processor time that the process has used. */
  readonly cpuMs: number;
}

export class EventLoopMonitor {
  private maxDelayMs = 0;
  private last: EventLoopSample | undefined;
  private logger: Logger | undefined;

  /** Samples from now on. Does not keep the process alive. */
  start(logger: Logger): void {
    this.logger = logger.part('process');
    this.onSample(takeSample());
    setInterval(() => this.onSample(takeSample()), SAMPLE_INTERVAL_MS).unref();
  }

  /** Records a sample that was due {@link SAMPLE_INTERVAL_MS} after the one before. */
  onSample(sample: EventLoopSample): void {
    const { last } = this;
    this.last = sample;
    if (last === undefined) return;
    const delayMs = Math.max(0, sample.at - last.at - SAMPLE_INTERVAL_MS);
    this.maxDelayMs = Math.max(this.maxDelayMs, delayMs);
    if (delayMs < LOGGED_DELAY_MS) return;
    // Little processor time: the process waited for a disk, or was suspended or kept from running.
    this.logger?.warn('The event loop was held up.', {
      delayMs: Math.round(delayMs),
      cpuMs: Math.round(sample.cpuMs - last.cpuMs),
    });
  }

  /** Returns the longest delay since the last call, in milliseconds. */
  takeMaxDelayMs(): number {
    const { maxDelayMs } = this;
    this.maxDelayMs = 0;
    return maxDelayMs;
  }
}

function takeSample(): EventLoopSample {
  const { user, system } = process.cpuUsage();
  return { at: performance.now(), cpuMs: (user + system) / MICROSECONDS_PER_MS };
}

/** The monitor of this process. */
export const eventLoopMonitor = new EventLoopMonitor();
