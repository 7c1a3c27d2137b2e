/** Readings of the operating system's clocks that belong to one moment, so that the clocks can be compared. */
import { uptime } from 'node:os';
import { MS_PER_SECOND } from './units.js';

/** Clocks of the operating system; together they distinguish a suspension from a change of the wall clock. */
export interface ClockSources {
  /** Monotonic time; stops while the machine is suspended. */
  monotonicMs(): number;
  /** Time since 1970; continues during a suspension, and jumps when the clock is set. */
  wallMs(): number;
  /** Time since boot; continues during a suspension. Reads a file on Linux. */
  uptimeMs(): number;
}

/** The clocks at one moment, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
  readonly uptimeMs: number;
}

export const SYSTEM_SOURCES: ClockSources = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
  uptimeMs: () => uptime() * MS_PER_SECOND,
};

/** Maximum time between the first and the last reading; far below the changes that are looked for. */
const MAX_READING_MS = 5;
/** Bounds the time of one call where the process is interrupted again and again. */
const MAX_ATTEMPTS = 3;

/**
 * Reads all clocks. Returns undefined if the process was stopped or the machine suspended between the readings in each
 * attempt: the time between two readings would look like a gain of the clock that was read later.
 */
export function readClocks(sources: ClockSources): ClockReading | undefined {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const reading = readOnce(sources);
    const monotonicTookMs = sources.monotonicMs() - reading.monotonicMs;
    const wallTookMs = sources.wallMs() - reading.wallMs;
    if (Math.max(monotonicTookMs, wallTookMs) <= MAX_READING_MS) return reading;
  }
  return undefined;
}

/** Reads each clock once, in whatever time that takes. */
export function readOnce(sources: ClockSources): ClockReading {
  return {
    monotonicMs: sources.monotonicMs(),
    wallMs: sources.wallMs(),
    uptimeMs: sources.uptimeMs(),
  };
}
