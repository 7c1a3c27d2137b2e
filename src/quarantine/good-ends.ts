/** Which requests a gate's target has answered lately, and when. Bounded. Pure. */
import type { Clock } from '../common/clock.js';

/** Fingerprints that are remembered: about 1 MB, and twelve seconds of different requests at 350 a second, two for each. */
const MAX_REMEMBERED = 8_192;

export class GoodEnds {
  /** Moments of the clock by fingerprint, oldest first. */
  private readonly endedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** The target has answered the request, and goes on. */
  add(fingerprint: string): void {
    this.endedAt.delete(fingerprint);
    this.endedAt.set(fingerprint, this.clock.now());
    if (this.endedAt.size <= MAX_REMEMBERED) return;
    const [oldest] = this.endedAt.keys();
    if (oldest !== undefined) this.endedAt.delete(oldest);
  }

  /** Whether the request has been answered in the last `durationMs` milliseconds. */
  within(fingerprint: string, durationMs: number): boolean {
    const endedAt = this.endedAt.get(fingerprint);
    return endedAt !== undefined && this.clock.now() - endedAt <= durationMs;
  }
}
