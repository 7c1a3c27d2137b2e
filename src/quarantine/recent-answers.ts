/**
 * The requests that a gate's target has recently answered, which therefore are not the cause of a crash. Bounded by two
 * maps: a full one replaces the previous one, which is cheaper than evicting the oldest entry at each insertion.
 */
import type { Clock } from '../common/clock.js';

/**
 * Largest number of fingerprints in one map. Each request has two, with and without its caller. Both maps take about 1 MB and
 * cover six to twelve seconds at 350 requests per second.
 */
const MAX_ENTRIES = 4_096;

export class RecentAnswers {
  /** Monotonic milliseconds of the latest answer, by fingerprint. */
  private current = new Map<string, number>();
  private previous = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that the target has answered the request successfully. */
  add(fingerprint: string): void {
    this.current.set(fingerprint, this.clock.now());
    if (this.current.size < MAX_ENTRIES) return;
    this.previous = this.current;
    this.current = new Map();
  }

  /** Whether the request was answered in the last `durationMs` milliseconds. */
  within(fingerprint: string, durationMs: number): boolean {
    const endedAt = this.current.get(fingerprint) ?? this.previous.get(fingerprint);
    return endedAt !== undefined && this.clock.now() - endedAt <= durationMs;
  }
}
