/**
 * Monotonic clock and timers. Programs inject {@link SystemClock}, and the simulator a virtual clock, so that the same
 * modules run unchanged in both.
 */
import { readClocks, readOnce, SYSTEM_SOURCES, type ClockSources } from './clock-reading.js';
import { SuspensionDetector, type ClockChange } from './suspension-detector.js';

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

/** Called for each change that a comparison of the clocks has found. */
export type ClockChangeListener = (change: ClockChange) => void;

/**
 * Clock of a process. Includes the time for which the machine was suspended: otherwise a resumed machine would use expired
 * leases, deadlines and election timeouts. The call of {@link SystemClock.now} that detects a suspension also reschedules
 * the timers.
 */
export class SystemClock implements Clock {
  private suspendedMs = 0;
  private readonly detector: SuspensionDetector;
  private readonly timers = new Set<SystemTimer>();

  constructor(
    private readonly sources: ClockSources = SYSTEM_SOURCES,
    private readonly onChange: ClockChangeListener = () => undefined,
  ) {
    this.detector = new SuspensionDetector(readClocks(sources) ?? readOnce(sources));
  }

  now(): number {
    const monotonicMs = this.sources.monotonicMs();
    if (this.detector.needsComparison(monotonicMs, this.sources.wallMs())) this.compareClocks();
    return monotonicMs + this.suspendedMs;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const timer = new SystemTimer(this.now() + delayMs, callback, this.timers);
    timer.arm(delayMs);
    return timer;
  }

  private compareClocks(): void {
    const reading = readClocks(this.sources);
    const change = reading && this.detector.compare(reading);
    if (reading === undefined || change === undefined) return;
    if (change.type === 'suspension') {
      this.suspendedMs += change.uptimeGainMs;
      const now = reading.monotonicMs + this.suspendedMs;
      for (const timer of this.timers) timer.arm(timer.dueAt - now);
    }
    this.onChange(change);
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
