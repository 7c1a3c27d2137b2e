/**
 * Creates the services of a simulated gate from the production classes. Draining, claims and quarantine are
 * disabled.
 */
import { AdmissionController } from '../../../src/admission/admission-controller.js';
import { CongestionLevel } from '../../../src/admission/congestion-level.js';
import { KindImpact } from '../../../src/admission/kind-impact.js';
import { KindLimiter } from '../../../src/admission/kind-limiter.js';
import type { PathBottlenecks } from '../../../src/admission/path-bottlenecks.js';
import type { TargetRateLimiter } from '../../../src/admission/target-rate-limiter.js';
import { KindCircuitBreaker } from '../../../src/admission/kind-circuit-breaker.js';
import type { SlotLimiter } from '../../../src/admission/slot-limiter.js';
import type { Clock } from '../../../src/common/clock.js';
import type { RandomSource } from '../../../src/common/random.js';
import { NO_CLAIMS } from '../../../src/dedup/no-claims.js';
import { GATE_SHARING, QUEUE_WAIT_MS } from '../../../src/gate/gate-policy.js';
import { TargetLoadTracker } from '../../../src/gate/target-load-tracker.js';
import { KindPaceTracker } from '../../../src/gate/kind-pace-tracker.js';
import { UnservedRuns } from '../../../src/gate/unserved-runs.js';
import type { GateServices } from '../../../src/gate/inbound-services.js';
import { IMPORTANCE_COUNT, type Importance } from '../../../src/policy/importance.js';
import type { RepeatedRuns } from '../../../src/retry/repeated-runs.js';
import type { ServiceRetryBudget } from '../../../src/retry/service-retry-budget.js';

/** State that a gate shares with the rest of its sidecar. */
export interface SimGateOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly limiter: SlotLimiter;
  readonly rateLimiter: TargetRateLimiter;
  /** Congestion of the calls that the target makes. */
  readonly downstream: CongestionLevel;
  readonly retryBudget: ServiceRetryBudget;
  readonly repeatedRuns: RepeatedRuns;
  /** Undefined if the gate tells no bottlenecks. */
  readonly isFavoured: (service: string, importance: Importance) => boolean;
  readonly bottlenecks: (admission: AdmissionController) => PathBottlenecks | undefined;
}

export function simGateServices(options: SimGateOptions): GateServices {
  const { clock, random, limiter, rateLimiter, downstream, retryBudget, repeatedRuns } = options;
  const admission = new AdmissionController({
    clock,
    random,
    limiter,
    rateLimiter,
    ...GATE_SHARING,
    queueWaitMs: () => QUEUE_WAIT_MS,
  });
  return {
    clock,
    admission,
    bottlenecks: options.bottlenecks(admission),
    isFavoured: options.isFavoured,
    claims: NO_CLAIMS,
    isLeaving: () => false,
    queueLevels: Array.from({ length: IMPORTANCE_COUNT }, () => new CongestionLevel(clock)),
    downstreamLevel: () => downstream.current(),
    kindImpact: new KindImpact(clock),
    kindLimiter: new KindLimiter(clock),
    runOutcomes: new KindCircuitBreaker(),
    kindPace: new KindPaceTracker(clock),
    unservedRuns: new UnservedRuns(clock),
    targetLoad: new TargetLoadTracker(clock, () => undefined),
    retryBudget,
    repeatedRuns,
    onMisdirected: () => undefined,
    crashGuard: {
      isQuarantined: () => false,
      begin: () => undefined,
      isLikelyCause: () => false,
    },
  };
}
