/** Outcomes of the requests of a soak, and what their statuses mean. */
import type { ExchangeResult } from './exchange-result.js';

/** The outcome of one request of a client, or of a call of a target. */
export interface RequestOutcome extends ExchangeResult {
  readonly id: string;
  /** Index of the machine whose sidecar received it. */
  readonly machine: number;
  /** Whether a target sent it. */
  readonly isNested: boolean;
  /** Whether it is one of a burst of uploads, some of which are refused for overload. Default false. */
  readonly isUpload?: boolean;
  /** Whether it crashes the targets that run it. Default false. */
  readonly isDeadly?: boolean;
  /** Timeout of its sender, in milliseconds. */
  readonly deadlineMs: number;
  readonly sentAt: number;
  readonly endedAt: number;
}

export const STATUS_OK = 200;
const STATUS_FAILED = 500;
/** Statuses that guarantee that the request has not run and will not run. */
export const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Whether a failure response does not come from the target itself. */
export function isForeignFailure({ id, status, body }: RequestOutcome): boolean {
  return status >= STATUS_FAILED && body !== answerBody(id);
}

/** Whether goodput counts a request: it was sent by a client, and not in a burst. */
export function isSteadyRequest({ isNested, isUpload = false }: RequestOutcome): boolean {
  return !isNested && !isUpload;
}

/** Fraction of requests that succeeded, 0 to 1. */
export function successRatioOf(outcomes: readonly RequestOutcome[]): number {
  return outcomes.filter(({ status }) => status === STATUS_OK).length / outcomes.length;
}

/** The complete response body for a request. */
export function answerBody(id: string): string {
  return `answer to ${id}.`;
}
