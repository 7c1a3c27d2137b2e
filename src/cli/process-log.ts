/**
 * Log lines about the process itself, in the format of the logger (common/logger.ts), which needs settings and a library that
 * aren't there at the first line, and whose stream may hold back the last one. Lines are written at once, at any log level, with one
 * system call. A line that can't be written to standard output, or would end up within one that is half written, goes to standard error,
 * and is dropped if that fails too: writing neither throws nor waits for a reader.
 */
import { writeSync } from 'node:fs';
import { hostname } from 'node:os';
import { openNonBlocking } from '../common/line-output.js';
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
    const { output } = this;
    const writesOutput = (): boolean => output?.writeNow(line) ?? writeLine(1, line);
    if (attempt(() => process.stdout, writesOutput)) return;
    attempt(
      () => process.stderr,
      () => writeLine(2, line),
    );
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

const descriptors = new Map<number, number>();

/** A descriptor on which a write fails instead of waiting for a reader. */
function descriptorOf(fd: number): number {
  const known = descriptors.get(fd);
  if (known !== undefined) return known;
  const descriptor = openNonBlocking(fd);
  descriptors.set(fd, descriptor);
  return descriptor;
}

/** Writes a line with one system call. @throws if it can't be written now */
function writeLine(fd: number, line: string): boolean {
  writeSync(descriptorOf(fd), line);
  return true;
}

/** Tries to write a line. @returns false if that failed, or the line would follow on one that its stream has half written */
function attempt(openStream: () => NodeJS.WriteStream, write: () => boolean): boolean {
  try {
    return openStream().writableLength === 0 && write();
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
