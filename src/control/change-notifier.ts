/**
 * Wakes requests that wait for a change of configuration, endpoints or suspects: watches and long polls. Owns the requests that
 * wait, in memory; each looks itself whether the change concerns it.
 */
import type { Clock } from '../common/clock.js';

export class ChangeNotifier {
  private waiters = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Number of requests that wait now. */
  get waiting(): number {
    return this.waiters.size;
  }

  /** Wakes everyone that waits. */
  notify(): void {
    const waiters = this.waiters;
    this.waiters = new Set();
    for (const wake of waiters) wake();
  }

  /** Resolves at the next notification or after `timeoutMs`. */
  async wait(timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        timer.cancel();
        this.waiters.delete(wake);
        resolve();
      };
      const timer = this.clock.schedule(timeoutMs, wake);
      this.waiters.add(wake);
    });
  }
}
