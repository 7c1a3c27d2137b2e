/** Whether a target that turns a call away can be short of room. Pure. */
import type { AdmissionStatus } from '../admission/admission-controller.js';

/** Part of its limit from which a target counts as full: reports of its slots may be a little old. */
const FULL_PART = 0.8;

/**
 * Whether the target can be short of room, as far as its calls have filled it. A rejection by one that is not says
 * nothing about capacity: taken for overload, it made callers hold back nine of ten calls of a service whose slots stood
 * empty (1,128 rejections in 9 s, where 5,000 calls were wanted).
 */
export function isTargetNearCapacity({ inFlight, limit, waiting }: AdmissionStatus): boolean {
  return waiting > 0 || inFlight >= FULL_PART * limit;
}
