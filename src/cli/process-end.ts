/** Why a process that runs a program ends: for its last log line, and as an exit code for its supervisor. */
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

/** What a process was doing. */
export type ProcessPhase = 'loading' | 'starting' | 'running' | 'stopping';

export type EndReason =
  /** A planned stop. */
  | 'stopped'
  /** A signal requested the stop before the program had started. */
  | 'stopped-at-start'
  | 'failed-start'
  | 'failed-stop'
  | 'uncaught-exception'
  | 'unhandled-rejection'
  /** Nothing was left to do, or a library has ended the process. */
  | 'unexplained';

/** The end of a process. */
export interface ProcessEnd {
  readonly reason: EndReason;
  /** What the process was doing when the reason arose. */
  readonly phase: ProcessPhase;
  /** The signal that requested the end. */
  readonly signal?: NodeJS.Signals;
  readonly error?: unknown;
}

/** Codes of errors that are due to the command line or the settings. */
const USAGE_ERROR_CODES: readonly unknown[] = ['SHOREDOOR_VALIDATION', 'SHOREDOOR_USAGE'];

/** Fields that errors may have. Programs are bundled apart from their launcher, so that it can't compare classes. */
interface ErrorFields {
  readonly code?: unknown;
  readonly stack?: unknown;
  readonly cause?: unknown;
  readonly faults?: unknown;
}

/** Returns the exit code for an end. */
export function exitCodeOf({ reason, error }: ProcessEnd): ExitCode {
  switch (reason) {
    case 'stopped':
    case 'stopped-at-start':
      return EXIT_CODES.ok;
    case 'failed-start':
      return isUsageError(error) ? EXIT_CODES.usage : EXIT_CODES.failed;
    case 'failed-stop':
    case 'unexplained':
      return EXIT_CODES.failed;
    case 'uncaught-exception':
    case 'unhandled-rejection':
      return EXIT_CODES.fault;
  }
}

/** Whether the process ends because of an error that nothing has caught. */
export function isFault({ reason }: ProcessEnd): boolean {
  return reason === 'uncaught-exception' || reason === 'unhandled-rejection';
}

/** Returns the fields of a log line about an end. Never throws, whatever has been thrown. */
export function describeEnd(end: ProcessEnd): Record<string, unknown> {
  const { error, ...fields } = end;
  if (error === undefined) return fields;
  try {
    return { ...fields, ...describeError(error) };
  } catch {
    return { ...fields, error: 'an error that cannot be printed' };
  }
}

function describeError(error: unknown): Record<string, unknown> {
  const { stack, cause, faults } = fieldsOf(error);
  return {
    error: String(error),
    cause: cause instanceof Error ? String(cause) : undefined,
    faults,
    stack: isUsageError(error) ? undefined : stack,
  };
}

function isUsageError(error: unknown): boolean {
  return USAGE_ERROR_CODES.includes(fieldsOf(error).code);
}

function fieldsOf(error: unknown): ErrorFields {
  return typeof error === 'object' && error !== null ? error : {};
}
