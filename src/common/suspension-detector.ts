/**
 * Distinguishes a suspension of the machine from a change of the wall clock. A suspension advances the wall clock and the
 * uptime equally against the monotonic clock; setting the wall clock leaves the uptime as it is. A gain of the uptime alone
 * is not believed, as the uptime of some platforms jumps.
 */
import type { ClockReading } from './clock-reading.js';
import { MS_PER_SECOND } from './units.js';

/** A change of the clocks against each other. Gains are advances beyond that of the monotonic clock. */
export interface ClockChange {
  /** Only a `suspension` counts as elapsed time. In a `disagreement` wall clock and uptime changed differently. */
  readonly type: 'suspension' | 'wall-clock-set' | 'disagreement';
  /** Monotonic time since the reading that the gains are relative to. */
  readonly elapsedMs: number;
  readonly wallGainMs: number;
  readonly uptimeGainMs: number;
}

/** Resolution of the uptime on Linux. */
const UPTIME_RESOLUTION_MS = 10;
/** Smaller changes are left to add up, as the uptime is too coarse to classify them. */
const MIN_CHANGE_MS = 2 * UPTIME_RESOLUTION_MS;
/**
 * Maximum difference between the gains of wall clock and uptime in a suspension. Exceeds what can go undetected before it:
 * a suspension and an opposite step of the wall clock, both just too short, and the resolution of the uptime.
 */
const MAX_GAIN_DIFFERENCE_MS = 2 * MIN_CHANGE_MS + 2 * UPTIME_RESOLUTION_MS;
/** Bounds how far the uptime can move away from the other clocks undetected; reading it costs a system call. */
const UPTIME_CHECK_INTERVAL_MS = 10 * MS_PER_SECOND;

export class SuspensionDetector {
  private wallOffsetMs: number;
  private nextUptimeCheckAt: number;

  /** @param base reading that later ones are compared with */
  constructor(private base: ClockReading) {
    this.wallOffsetMs = base.wallMs - base.monotonicMs;
    this.nextUptimeCheckAt = base.monotonicMs + UPTIME_CHECK_INTERVAL_MS;
  }

  /** Returns whether all clocks should be compared: the wall clock has moved, or the uptime has not been read for long. */
  needsComparison(monotonicMs: number, wallMs: number): boolean {
    return (
      Math.abs(wallMs - monotonicMs - this.wallOffsetMs) >= MIN_CHANGE_MS ||
      monotonicMs >= this.nextUptimeCheckAt
    );
  }

  /** Returns the change of the wall clock since the base reading, if it is large enough to classify. */
  compare(reading: ClockReading): ClockChange | undefined {
    const elapsedMs = reading.monotonicMs - this.base.monotonicMs;
    const wallGainMs = reading.wallMs - this.base.wallMs - elapsedMs;
    const uptimeGainMs = reading.uptimeMs - this.base.uptimeMs - elapsedMs;
    this.nextUptimeCheckAt = reading.monotonicMs + UPTIME_CHECK_INTERVAL_MS;
    const isWallSteady = Math.abs(wallGainMs) < MIN_CHANGE_MS;
    // Short suspensions stay in the base, so that repeated ones add up and are counted.
    if (isWallSteady && Math.abs(uptimeGainMs - wallGainMs) < MIN_CHANGE_MS) return undefined;
    // Both offsets are replaced together: a change kept in only one would make the next suspension a disagreement.
    this.base = reading;
    this.wallOffsetMs = reading.wallMs - reading.monotonicMs;
    // The uptime of some platforms runs at a pace of its own, which tells nothing.
    if (isWallSteady) return undefined;
    return { type: classify(wallGainMs, uptimeGainMs), elapsedMs, wallGainMs, uptimeGainMs };
  }
}

function classify(wallGainMs: number, uptimeGainMs: number): ClockChange['type'] {
  if (Math.abs(uptimeGainMs) < MIN_CHANGE_MS) return 'wall-clock-set';
  const clocksAgree = Math.abs(uptimeGainMs - wallGainMs) <= MAX_GAIN_DIFFERENCE_MS;
  return clocksAgree && uptimeGainMs > 0 ? 'suspension' : 'disagreement';
}
