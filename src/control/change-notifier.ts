/**
 * Wakes watches and long polls when configuration, endpoints or suspects change. Waiters get no details of the change and check for
 * themselves.
 */
import type { Clock } from '../common/clock.js';

export class ChangeNotifier {
  private waiters = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Number of requests currently waiting. */
  get waiting(): number {
    return this.waiters.size;
  }

  /** Wakes all waiting requests. */
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
