/**
 * Time as the decision modules see it. Programs inject {@link SystemClock}; the simulator injects
 * a virtual clock, so that the same modules run unchanged in both. Owns the count of time for which the machine was
 * suspended; relies on the monotonic clock, the time of day and the time since the machine's start.
 */
import { uptime } from 'node:os';
import { MS_PER_SECOND } from './units.js';

/** A scheduled callback that can be cancelled before it runs. */
export interface Timer {
  /** Cancels the callback. Harmless when it has already run. */
  cancel(): void;
}

/** Monotonic time and scheduling. All values are milliseconds; never wall-clock time. */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary origin, with a fraction. */
  now(): number;
  /** Runs `callback` once after at least `delayMs` milliseconds. */
  schedule(delayMs: number, callback: () => void): Timer;
}

/** The clocks of the operating system that tell a suspended machine from one whose time of day was set. */
export interface ClockSources {
  /** Monotonic milliseconds; stands still while the machine is suspended. */
  monotonicMs(): number;
  /** Milliseconds since 1970; goes on meanwhile, and steps when it is set. */
  wallMs(): number;
  /** Milliseconds since the machine was started; goes on meanwhile. Costs a read of a file on Linux. */
  uptimeMs(): number;
}

const SYSTEM_SOURCES: ClockSources = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
  uptimeMs: () => uptime() * MS_PER_SECOND,
};

/** Shorter suspensions don't count, in milliseconds: the time since the start is told to 10 ms only. */
const MIN_SUSPENSION_MS = 100;
/** Most by which the two clocks that go on may differ over a suspension, in milliseconds. */
const MAX_CLOCK_DIFFERENCE_MS = 60;

/**
 * The clock of a real process. Counts the time for which the machine was suspended: leases, deadlines and elections of a
 * machine that wakes would be late by it otherwise, and be believed. Timers that are overdue then run at the first look at
 * the clock.
 */
export class SystemClock implements Clock {
  private suspendedMs = 0;
  /** How far the other clocks are ahead of the steady one. */
  private wallOffsetMs: number;
  private uptimeOffsetMs: number;
  private readonly timers = new Set<SystemTimer>();

  constructor(private readonly sources: ClockSources = SYSTEM_SOURCES) {
    const monotonicMs = sources.monotonicMs();
    this.wallOffsetMs = sources.wallMs() - monotonicMs;
    this.uptimeOffsetMs = sources.uptimeMs() - monotonicMs;
  }

  now(): number {
    const monotonicMs = this.sources.monotonicMs();
    const wallOffsetMs = this.sources.wallMs() - monotonicMs;
    if (Math.abs(wallOffsetMs - this.wallOffsetMs) >= MIN_SUSPENSION_MS)
      this.onWallOffsetChanged(wallOffsetMs, monotonicMs);
    return monotonicMs + this.suspendedMs;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const timer = new SystemTimer(this.now() + delayMs, callback, this.timers);
    timer.arm(delayMs);
    return timer;
  }

  /** The time of day was set, or the machine was suspended: then both other clocks have gained the same. */
  private onWallOffsetChanged(wallOffsetMs: number, monotonicMs: number): void {
    const uptimeOffsetMs = this.sources.uptimeMs() - monotonicMs;
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

/** A timer that can be armed anew, in the set of those that have not run. */
class SystemTimer implements Timer {
  private handle: NodeJS.Timeout | undefined;

  constructor(
    readonly dueAt: number,
    private readonly callback: () => void,
    private readonly pending: Set<SystemTimer>,
  ) {
    pending.add(this);
  }

  /** Runs the callback after `delayMs` milliseconds, in place of when it was to run before. */
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

/** For modules at the rim that take no clock. */
export const SYSTEM_CLOCK = new SystemClock();
