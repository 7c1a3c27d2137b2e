/** Tells whether a rejection by the target can be due to overload. Pure. */
import type { AdmissionStatus } from '../admission/admission-controller.js';

/**
 * Fraction of its limit from which a target counts as full: reports of its slots may be slightly
 * out of date.
 */
const FULL_PART = 0.8;

/**
 * Whether the target is near its capacity. A rejection by one that is not says nothing about
 * capacity: treated as overload, it would make callers hold back calls of a service with free
 * slots.
 */
export function isTargetNearCapacity({ inFlight, limit, waiting }: AdmissionStatus): boolean {
  return waiting > 0 || inFlight >= FULL_PART * limit;
}
