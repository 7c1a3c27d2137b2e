/**
 * Log lines about the process itself, in the format of the logger (common/logger.ts), which needs settings and a library that
 * aren't there at the first line, and whose stream may hold back the last one. Lines are written at once, at any log level, with one
 * system call. A line that can't be written to standard output, or would end up within one that is half written, goes to standard error,
 * and is dropped if that fails too: writing neither throws nor waits for a reader.
 */
import { writeSync } from 'node:fs';
import { hostname } from 'node:os';
import type { LogFields } from '../common/logger.js';

/** Bunyan's levels. */
const INFO_LEVEL = 30;
const ERROR_LEVEL = 50;
/** Bounds texts so that a line fits into one atomic write to a pipe (PIPE_BUF, 4,096 bytes). */
const MAX_TEXT_LENGTH = 1_500;

/** The output of a logger, which may hold lines that are not written yet. */
export interface SharedOutput {
  /** Writes a line after all earlier ones. @returns whether it was written */
  writeNow(line: string): boolean;
}

class ProcessLog {
  /** The `id` in the settings, once they are known; added to each record. */
  processId: string | undefined;
  /** The output of the program's logger, once there is one: no line may end up within one that it has half written. */
  output: SharedOutput | undefined;

  info(message: string, fields: LogFields): void {
    this.write(INFO_LEVEL, message, fields);
  }

  error(message: string, fields: LogFields): void {
    this.write(ERROR_LEVEL, message, fields);
  }

  private write(level: number, message: string, fields: LogFields): void {
    const line = this.format(level, message, fields);
    if (!this.writeToOutput(line)) writeNow(2, () => process.stderr, line);
  }

  private writeToOutput(line: string): boolean {
    return this.output?.writeNow(line) ?? writeNow(1, () => process.stdout, line);
  }

  private format(level: number, message: string, fields: LogFields): string {
    const record = {
      name: 'shoredoor',
      hostname: hostname(),
      pid: process.pid,
      processId: this.processId,
      level,
      ...fields,
      msg: `process: ${message}`,
      time: new Date().toISOString(),
      v: 0,
    };
    return `${JSON.stringify(record, truncateText)}\n`;
  }
}

/** Writes a line with one system call. @returns false if it could not be written, or would follow on a half written one */
function writeNow(fd: number, open: () => NodeJS.WriteStream, line: string): boolean {
  try {
    // Opening the stream makes a pipe non-blocking: a write to one that is full fails instead of waiting.
    if (open().writableLength > 0) return false;
    writeSync(fd, line);
    return true;
  } catch {
    // Not logged: this is the log.
    return false;
  }
}

function truncateText(_name: string, value: unknown): unknown {
  return typeof value === 'string' ? value.slice(0, MAX_TEXT_LENGTH) : value;
}

/** The log of this process. */
export const processLog = new ProcessLog();
