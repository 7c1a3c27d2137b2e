/** Parts of a sidecar that need nothing of one another. */
import { AdmissionController } from '../admission/admission-controller.js';
import type { SlotLimiter } from '../admission/slot-limiter.js';
import { GATE_SHARING, QUEUE_WAIT_MS } from '../gate/gate-policy.js';
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import { ServiceDirectory } from '../routing/service-directory.js';
import type { SidecarSettings } from '../settings/sidecar-settings.js';

/** Decides which calls enter the target. */
export function createGateAdmission(
  clock: Clock,
  random: RandomSource,
  limiter: SlotLimiter,
): AdmissionController {
  return new AdmissionController({
    clock,
    random,
    limiter,
    ...GATE_SHARING,
    queueWaitMs: () => QUEUE_WAIT_MS,
  });
}

/** Chooses the endpoints of the calls that begin on this machine. */
export function createSidecarDirectory(
  clock: Clock,
  random: RandomSource,
  { id, zone }: SidecarSettings,
): ServiceDirectory {
  return new ServiceDirectory({
    clock,
    random,
    callerId: id,
    callerZone: zone,
    // A target that is slow at its start fills up, and so is chosen less.
    slowStartMs: () => 0,
  });
}
