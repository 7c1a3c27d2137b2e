/**
 * Every error class of shoredoor, each with a stable code. Refusals on the call path are typed
 * results (see `call/refusal.ts`), not errors: building an error object there would cost the most
 * exactly when the system is overloaded. A plain `Error` is for mistakes in the code, and for the reason that a stream is
 * destroyed with. Relies on modern-errors.
 */
import ModernError from 'modern-errors';
import type { Verdict } from './verdict.js';

/** One fault in a settings file or a resource: where it is and what is allowed. */
export interface Fault {
  /** Path of the faulty value, such as `groups[0].share`. Empty for the whole document. */
  readonly path: string;
  /** What is wrong and what is allowed. */
  readonly message: string;
}

/** Base class of all errors; unknown errors are normalised to it. */
export const ShoredoorError = ModernError.subclass('ShoredoorError', {
  custom: class extends ModernError {
    /** Stable machine-readable code. */
    get code(): string {
      return 'SHOREDOOR_ERROR';
    }
  },
});

/**
 * A settings file, a resource or a scenario that does not follow its schema. Takes its faults as
 * `props: { faults }`.
 */
export const ValidationError = ShoredoorError.subclass('ValidationError', {
  props: { faults: [] as readonly Fault[] },
  custom: class extends ShoredoorError {
    override get code(): string {
      return 'SHOREDOOR_VALIDATION';
    }
  },
});
export type ValidationError = InstanceType<typeof ValidationError>;

/** A command line that cannot be understood. */
export const UsageError = ShoredoorError.subclass('UsageError', {
  custom: class extends ShoredoorError {
    override get code(): string {
      return 'SHOREDOOR_USAGE';
    }
  },
});

/** A failed write or sync, or a damaged file, in the data folder. */
export const StorageError = ShoredoorError.subclass('StorageError', {
  custom: class extends ShoredoorError {
    override get code(): string {
      return 'SHOREDOOR_STORAGE';
    }
  },
});

/** What is known of a failed request to the resource API. */
export interface RequestErrorProps {
  /** HTTP status, or 0 when there was no answer. */
  readonly status: number;
  /** Whether the request may have taken effect. */
  readonly verdict: Verdict;
}

/** What is known without an answer: nothing, so the request may have run. */
const NO_RESPONSE: RequestErrorProps = { status: 0, verdict: 'may-have-run' };

/**
 * A request to the resource API that was refused or whose answer was lost. Takes what is known as
 * `props: { status, verdict }`.
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
