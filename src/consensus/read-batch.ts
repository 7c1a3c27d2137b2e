/**
 * Batches read barriers: at most one is confirmed at a time, and calls that arrive meanwhile share the next one. Answers the
 * load after a restart of everything, when all followers ask at once: a message for each of them exceeds what the links
 * between replicas take, and dropped messages cost the followers a timeout.
 */
import type { Clock } from '../common/clock.js';
import type { ReadCallback } from './pending-reads.js';

export class ReadBatch {
  private waiting: ReadCallback[] = [];
  /** The calls that are being confirmed. */
  private current: readonly ReadCallback[] | undefined;

  /**
   * @param maxWaitMs time after which the next batch begins although the current one is not confirmed
   * @param confirm starts a read barrier; the result covers everything that was acknowledged before
   */
  constructor(
    private readonly clock: Clock,
    private readonly maxWaitMs: number,
    private readonly confirm: (callback: ReadCallback) => void,
  ) {}

  add(callback: ReadCallback): void {
    this.waiting.push(callback);
    if (this.current === undefined) this.begin();
  }

  private begin(): void {
    const batch = this.waiting;
    this.waiting = [];
    this.current = batch;
    const timeout = this.clock.schedule(this.maxWaitMs, () => this.end(batch));
    this.confirm((isConfirmed) => {
      timeout.cancel();
      this.end(batch);
      for (const callback of batch) callback(isConfirmed);
    });
  }

  private end(batch: readonly ReadCallback[]): void {
    if (this.current !== batch) return;
    this.current = undefined;
    if (this.waiting.length > 0) this.begin();
  }
}
