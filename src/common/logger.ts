/** Structured logging with bunyan: JSON lines on standard output. Messages have the prefix of a component. */
import bunyan from 'bunyan';
import { getStandardOutput, type LineOutput } from './line-output.js';

/** Fields of a log record besides the message. */
export type LogFields = Record<string, unknown>;

/** The logger of one component. Messages are short sentences. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** Creates a logger with another prefix and the same destination. */
  part(name: string): Logger;
}

/** Levels that settings accept. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

class PartLogger implements Logger {
  constructor(
    private readonly target: bunyan,
    private readonly prefix: string,
  ) {}

  debug(message: string, fields: LogFields = {}): void {
    this.target.debug(fields, `${this.prefix}: ${message}`);
  }

  info(message: string, fields: LogFields = {}): void {
    this.target.info(fields, `${this.prefix}: ${message}`);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.target.warn(fields, `${this.prefix}: ${message}`);
  }

  error(message: string, fields: LogFields = {}): void {
    this.target.error(fields, `${this.prefix}: ${message}`);
  }

  part(name: string): Logger {
    return new PartLogger(this.target, name);
  }
}

/**
 * Creates the logger of a program. Lines that the output has lost are reported once it can be written again.
 * @param processId the `id` in the settings, added to each record
 */
export function createLogger(
  prefix: string,
  processId: string,
  level: LogLevel,
  output: LineOutput = getStandardOutput(),
): Logger {
  const target = bunyan.createLogger({
    name: 'shoredoor',
    processId,
    level,
    // Bunyan uses no other method of a stream than `write`.
    streams: [{ stream: output as unknown as NodeJS.WritableStream, level }],
  });
  const logger = new PartLogger(target, prefix);
  const lossLogger = logger.part('log');
  output.reportLossTo((lines, cause) => lossLogger.error('Lost log lines.', { lines, cause }));
  return logger;
}

/** A logger that discards all messages, for tests and the simulator. */
export const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  part: () => SILENT_LOGGER,
};
