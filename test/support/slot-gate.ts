/** Creates a sidecar's gate in virtual time, for a target with a few slots, a fixed address and no crashes. */
import { AdmissionController } from '../../src/admission/admission-controller.js';
import { CongestionLevel } from '../../src/admission/congestion-level.js';
import { KindImpact } from '../../src/admission/kind-impact.js';
import { KindCircuitBreaker } from '../../src/admission/kind-circuit-breaker.js';
import { KindLimiter } from '../../src/admission/kind-limiter.js';
import { TargetRateLimiter } from '../../src/admission/target-rate-limiter.js';
import { SHARING_ORDERS } from '../../src/admission/sharing-policy.js';
import { SlotLimiter } from '../../src/admission/slot-limiter.js';
import { SeededRandom } from '../../src/common/random.js';
import type { VirtualClock } from '../../src/common/virtual-clock.js';
import { NO_CLAIMS } from '../../src/dedup/no-claims.js';
import { TargetLoadTracker } from '../../src/gate/target-load-tracker.js';
import { KindPaceTracker } from '../../src/gate/kind-pace-tracker.js';
import { UnservedRuns } from '../../src/gate/unserved-runs.js';
import type { GateServices } from '../../src/gate/inbound-services.js';
import { IMPORTANCE_COUNT } from '../../src/policy/importance.js';
import { RepeatedRuns } from '../../src/retry/repeated-runs.js';
import { ServiceRetryBudget } from '../../src/retry/service-retry-budget.js';
import { DEFAULT_RETRY_BOUND } from '../../src/settings/schemas.js';

export function slotAdmission(clock: VirtualClock, slots: number): AdmissionController {
  const limiter = new SlotLimiter(1);
  limiter.setSlots(slots);
  return new AdmissionController({
    clock,
    random: new SeededRandom(1),
    limiter,
    rateLimiter: new TargetRateLimiter(clock),
    order: SHARING_ORDERS['importance-first'],
    shareOf: () => 1,
    totalShare: () => 1,
    queueWaitMs: () => 1_000,
  });
}

export function oneSlotAdmission(clock: VirtualClock): AdmissionController {
  return slotAdmission(clock, 1);
}

/** The state shared by the calls of a newly started gate whose target makes no calls. */
export function gateServices(clock: VirtualClock, admission: AdmissionController): GateServices {
  return {
    clock,
    admission,
    claims: NO_CLAIMS,
    isLeaving: () => false,
    downstreamLevel: () => 0,
    kindImpact: new KindImpact(clock),
    kindLimiter: new KindLimiter(clock),
    runOutcomes: new KindCircuitBreaker(),
    kindPace: new KindPaceTracker(clock),
    unservedRuns: new UnservedRuns(clock),
    targetLoad: new TargetLoadTracker(clock, () => undefined),
    retryBudget: new ServiceRetryBudget({ clock, ...DEFAULT_RETRY_BOUND, gates: () => 1 }),
    repeatedRuns: new RepeatedRuns(),
    queueLevels: Array.from({ length: IMPORTANCE_COUNT }, () => new CongestionLevel(clock)),
    onMisdirected: () => undefined,
    crashGuard: {
      isQuarantined: () => false,
      begin: () => undefined,
      isLikelyCause: () => false,
    },
  };
}
