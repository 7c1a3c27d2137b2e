/**
 * Monotonic clock and timers. Programs inject {@link SystemClock}, and the simulator a virtual clock, so that the same
 * modules run unchanged in both.
 */
import { readClocks, readOnce, SYSTEM_SOURCES, type ClockSources } from './clock-reading.js';

export type { ClockSources } from './clock-reading.js';

/** A scheduled callback. */
export interface Timer {
  /** Cancels the callback; has no effect if it has already run. */
  cancel(): void;
}

/** Monotonic time and scheduling, in milliseconds. */
export interface Clock {
  /** Returns the milliseconds since an arbitrary origin, with a fraction. */
  now(): number;
  /** Runs `callback` once after at least `delayMs` milliseconds. */
  schedule(delayMs: number, callback: () => void): Timer;
}

/** Shorter suspensions are ignored, as the resolution of the uptime is only 10 ms. */
const MIN_SUSPENSION_MS = 100;
/** Maximum difference between the advances of wall clock and uptime for a suspension to be recognised. */
const MAX_CLOCK_DIFFERENCE_MS = 60;

/**
 * Clock of a process. Includes the time for which the machine was suspended: otherwise a resumed machine would use expired
 * leases, deadlines and election timeouts. The call of {@link SystemClock.now} that detects a suspension also reschedules
 * the timers.
 */
export class SystemClock implements Clock {
  private suspendedMs = 0;
  // Offsets of the other clocks from the monotonic one.
  private wallOffsetMs: number;
  private uptimeOffsetMs: number;
  private readonly timers = new Set<SystemTimer>();

  constructor(private readonly sources: ClockSources = SYSTEM_SOURCES) {
    const { monotonicMs, wallMs, uptimeMs } = readClocks(sources) ?? readOnce(sources);
    this.wallOffsetMs = wallMs - monotonicMs;
    this.uptimeOffsetMs = uptimeMs - monotonicMs;
  }

  now(): number {
    const monotonicMs = this.sources.monotonicMs();
    const wallOffsetMs = this.sources.wallMs() - monotonicMs;
    if (Math.abs(wallOffsetMs - this.wallOffsetMs) >= MIN_SUSPENSION_MS) this.compareClocks();
    return monotonicMs + this.suspendedMs;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const timer = new SystemTimer(this.now() + delayMs, callback, this.timers);
    timer.arm(delayMs);
    return timer;
  }

  /** Detects a suspension, after which wall clock and uptime have advanced equally; otherwise the wall clock was set. */
  private compareClocks(): void {
    const reading = readClocks(this.sources);
    if (reading === undefined) return;
    const { monotonicMs } = reading;
    const wallOffsetMs = reading.wallMs - monotonicMs;
    const uptimeOffsetMs = reading.uptimeMs - monotonicMs;
    const gainedMs = uptimeOffsetMs - this.uptimeOffsetMs;
    const clocksAgree =
      Math.abs(gainedMs - (wallOffsetMs - this.wallOffsetMs)) <= MAX_CLOCK_DIFFERENCE_MS;
    this.wallOffsetMs = wallOffsetMs;
    this.uptimeOffsetMs = uptimeOffsetMs;
    if (gainedMs < MIN_SUSPENSION_MS || !clocksAgree) return;
    this.suspendedMs += gainedMs;
    for (const timer of this.timers) timer.arm(timer.dueAt - monotonicMs - this.suspendedMs);
  }
}

/** A timer that can be rescheduled. It is in the set of pending timers until it runs or is cancelled. */
class SystemTimer implements Timer {
  private handle: NodeJS.Timeout | undefined;

  constructor(
    readonly dueAt: number,
    private readonly callback: () => void,
    private readonly pending: Set<SystemTimer>,
  ) {
    pending.add(this);
  }

  /** Schedules the callback to run in `delayMs` milliseconds, replacing an earlier schedule. */
  arm(delayMs: number): void {
    if (this.handle !== undefined) clearTimeout(this.handle);
    this.handle = setTimeout(runTimer, Math.max(0, delayMs), this);
  }

  cancel(): void {
    clearTimeout(this.handle);
    this.pending.delete(this);
  }

  run(): void {
    this.pending.delete(this);
    this.callback();
  }
}

function runTimer(timer: SystemTimer): void {
  timer.run();
}

/** Shared clock for modules to which no clock is passed. */
export const SYSTEM_CLOCK = new SystemClock();
