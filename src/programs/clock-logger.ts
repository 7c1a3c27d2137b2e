/** Logs what the clock of a process believes about suspensions of the machine. */
import { SystemClock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import type { ClockChange } from '../common/suspension-detector.js';
import { MS_PER_SECOND } from '../common/units.js';

/** Bounds the volume on a machine whose clocks change all the time. */
const MAX_LINES_PER_WINDOW = 10;
const WINDOW_MS = 60 * MS_PER_SECOND;

/** Creates the clock of a process, which logs each change of the machine's clocks. */
export function createProcessClock(logger: Logger): SystemClock {
  const clockLogger = new ClockLogger(logger.part('clock'));
  return new SystemClock(undefined, (change) => clockLogger.onChange(change));
}

export class ClockLogger {
  private windowElapsedMs = WINDOW_MS;
  private lineCount = 0;
  private suppressedCount = 0;

  constructor(private readonly logger: Logger) {}

  onChange(change: ClockChange): void {
    if (!this.acquireLine(change.elapsedMs)) return;
    const fields = { ...fieldsOf(change), suppressed: this.suppressedCount };
    this.suppressedCount = 0;
    switch (change.type) {
      case 'suspension':
        return this.logger.info('The machine was suspended.', fields);
      case 'wall-clock-set':
        return this.logger.info('The wall clock was set.', fields);
      case 'disagreement':
        return this.logger.warn('Clocks disagree; no suspension was counted.', fields);
    }
  }

  private acquireLine(elapsedMs: number): boolean {
    this.windowElapsedMs += elapsedMs;
    if (this.windowElapsedMs >= WINDOW_MS) {
      this.windowElapsedMs = 0;
      this.lineCount = 0;
    }
    this.lineCount += 1;
    if (this.lineCount <= MAX_LINES_PER_WINDOW) return true;
    this.suppressedCount += 1;
    return false;
  }
}

function fieldsOf({ elapsedMs, wallGainMs, uptimeGainMs }: ClockChange) {
  return {
    elapsedMs: Math.round(elapsedMs),
    wallGainMs: Math.round(wallGainMs),
    uptimeGainMs: Math.round(uptimeGainMs),
  };
}
