/**
 * The error classes, each with a stable code. Refused calls are returned as results (see `call/refusal.ts`), not thrown:
 * creating error objects would be expensive under overload. A plain `Error` is used for programming errors and as the
 * reason when a stream is destroyed.
 */
import ModernError from 'modern-errors';
import type { Verdict } from './verdict.js';

/** An invalid value in a settings file, resource or scenario. */
export interface Fault {
  /** Path of the value, such as `groups[0].share`; empty for the whole document. */
  readonly path: string;
  /** What is wrong and what is allowed. */
  readonly message: string;
}

/** Base class of all errors; unknown errors are converted to it. */
export const ShoredoorError = ModernError.subclass('ShoredoorError', {
  custom: class extends ModernError {
    /** Stable code for use by programs. */
    get code(): string {
      return 'SHOREDOOR_ERROR';
    }
  },
});

/** A settings file, a resource or a scenario does not match its schema. The faults are passed as `props: { faults }`. */
export const ValidationError = ShoredoorError.subclass('ValidationError', {
  props: { faults: [] as readonly Fault[] },
  custom: class extends ShoredoorError {
    override get code(): string {
      return 'SHOREDOOR_VALIDATION';
    }
  },
});
export type ValidationError = InstanceType<typeof ValidationError>;

/** A command line is invalid. */
export const UsageError = ShoredoorError.subclass('UsageError', {
  custom: class extends ShoredoorError {
    override get code(): string {
      return 'SHOREDOOR_USAGE';
    }
  },
});

/** A file operation in the data folder failed, or a file there is damaged. */
export const StorageError = ShoredoorError.subclass('StorageError', {
  custom: class extends ShoredoorError {
    override get code(): string {
      return 'SHOREDOOR_STORAGE';
    }
  },
});

/** An address could not be bound. */
export const ListenError = ShoredoorError.subclass('ListenError', {
  custom: class extends ShoredoorError {
    override get code(): string {
      return 'SHOREDOOR_LISTEN';
    }
  },
});

/** Properties of a {@link RequestError}. */
export interface RequestErrorProps {
  /** HTTP status, or 0 without a response. */
  readonly status: number;
  /** Whether the request may have taken effect. */
  readonly verdict: Verdict;
}

/** Without a response it is unknown whether the request has run. */
const NO_RESPONSE: RequestErrorProps = { status: 0, verdict: 'may-have-run' };

/**
 * A request to the resource API was refused or got no response. The details are passed as `props: { status, verdict }`.
 */
export const RequestError = ShoredoorError.subclass('RequestError', {
  props: NO_RESPONSE,
  custom: class extends ShoredoorError {
    override get code(): string {
      return 'SHOREDOOR_REQUEST';
    }
  },
});
export type RequestError = InstanceType<typeof RequestError>;
