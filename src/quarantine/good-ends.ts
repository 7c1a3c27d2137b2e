/**
 * Which requests a gate's target has answered lately, and when: they are not the cause of a crash. Owned by the crash guard
 * of one sidecar. Bounded. Pure.
 *
 * Two maps that take turns: with one map that drops its oldest entry at each addition, an addition took 4.6 us, 0.6 us now
 * (400,000 in a row, the making of the text included).
 */
import type { Clock } from '../common/clock.js';

/**
 * Fingerprints of one map: 1 MB for both, and six to twelve seconds of different requests at 350 a second, two
 * fingerprints for each.
 */
const MAX_ENTRIES = 4_096;

export class RecentAnswers {
  /** Moments of the clock by fingerprint. */
  private current = new Map<string, number>();
  private previous = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** The target has answered the request, and goes on. */
  add(fingerprint: string): void {
    this.current.set(fingerprint, this.clock.now());
    if (this.current.size < MAX_ENTRIES) return;
    this.previous = this.current;
    this.current = new Map();
  }

  /** Whether the request has been answered in the last `durationMs` milliseconds. */
  within(fingerprint: string, durationMs: number): boolean {
    const endedAt = this.current.get(fingerprint) ?? this.previous.get(fingerprint);
    return endedAt !== undefined && this.clock.now() - endedAt <= durationMs;
  }
}
