/** Reads what a target announces about itself in the head of an answer: its rate limit, and that it is leaving. */
import type { IncomingHttpHeaders } from 'node:http';
import type { AnnouncedRateLimit } from '../admission/announced-rate-limit.js';
import { headerValue, type TargetHeaders } from './target-headers.js';

/** The announcements in one answer of a target. */
export interface TargetAnnouncement {
  readonly rateLimit: AnnouncedRateLimit;
  /** Whether the target is shutting down. */
  readonly isLeaving: boolean;
}

/** Value of the header that announces the shutdown. */
const LEAVING = '1';

/** Separates the values of a header that occurs several times. */
const VALUE_SEPARATOR = ',';

/** A decimal number without a sign; an exponent is accepted. */
const DECIMAL = /^\d+(?:\.\d*)?(?:e[+-]?\d+)?$/i;

/** Reads the announcements in the head of an answer. */
export function readAnnouncement(
  names: TargetHeaders,
  headers: IncomingHttpHeaders,
): TargetAnnouncement {
  return {
    rateLimit: parseRateLimit(headers[names.rateLimit]),
    isLeaving: headerValue(headers, names.leaving)?.trim() === LEAVING,
  };
}

/** Parses a rate limit. The lowest of several values applies, provided that all of them are valid. */
function parseRateLimit(value: string | string[] | undefined): AnnouncedRateLimit {
  if (value === undefined) return { type: 'none' };
  const text = Array.isArray(value) ? value.join(VALUE_SEPARATOR) : value;
  const values = text.split(VALUE_SEPARATOR).map((each) => each.trim());
  const rates = values.map(Number);
  const isValid = values.every((each) => DECIMAL.test(each)) && rates.every(Number.isFinite);
  return isValid ? { type: 'limited', perSecond: Math.min(...rates) } : { type: 'malformed', text };
}
