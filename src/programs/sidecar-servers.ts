/** Builds the two sides of a sidecar from its parts: the gate before the target, and the ingress of the machine. */
import type { AdmissionController } from '../admission/admission-controller.js';
import type { CongestionLevel } from '../admission/congestion-level.js';
import { KindImpact } from '../admission/kind-impact.js';
import { KindLimiter } from '../admission/kind-limiter.js';
import { CallDurations } from '../call/call-durations.js';
import type { CallStats } from '../call/call-stats.js';
import { GateServer } from '../gate/gate-server.js';
import { IngressServer } from '../ingress/ingress-server.js';
import { OutboundRouter } from '../outbound/outbound-router.js';
import type { RequestJournal } from '../call/request-journal.js';
import type { StopProgress } from '../call/stop-phase.js';
import { gateTakes } from '../call/stop-policy.js';
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import { NO_CLAIMS } from '../dedup/no-claims.js';
import type { InstancePool } from '../membership/instance-pool.js';
import { DEFAULT_BODY_LIMITS } from '../http/request-body.js';
import type { TargetHeaders } from '../http/target-headers.js';
import type { LinkPool } from '../link/link-pool.js';
import { replacedHeaders } from '../link/peer-transport.js';
import type { TargetLease } from '../membership/target-lease.js';
import { EMPTY_POLICY_TABLE, type PolicyTable } from '../policy/policy-table.js';
import type { CrashGuard } from '../quarantine/crash-guard.js';
import type { IngressQuota } from '../quota/ingress-quota.js';
import type { RepeatedRuns } from '../retry/repeated-runs.js';
import type { ServiceRetryBudget } from '../retry/service-retry-budget.js';
import { NestedRoutes } from '../routing/nested-routes.js';
import { OriginTracker } from '../routing/origin-tracker.js';
import type { ServiceDirectory } from '../routing/service-directory.js';
import type { WeightedSplit } from '../routing/weighted-split.js';
import type { SidecarSettings } from '../settings/sidecar-settings.js';

/**
 * Part of the time within which a revocation takes effect that the proof of a configuration may be old; the rest is for
 * clocks that differ and for the way of a request through this process.
 */
const PROOF_PART = 0.9;

/** What both sides are built from. */
export interface SidecarServerParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: SidecarSettings;
  readonly headers: TargetHeaders;
  readonly links: LinkPool;
  readonly split: WeightedSplit;
  readonly admission: AdmissionController;
  readonly lease: TargetLease;
  readonly journal: RequestJournal;
  /** Of the calls that wait for the target, by importance, and of those that it makes. */
  readonly queueLevels: readonly CongestionLevel[];
  readonly downstream: CongestionLevel;
  readonly retryBudget: ServiceRetryBudget;
  readonly repeatedRuns: RepeatedRuns;
  readonly crashGuard: CrashGuard;
  readonly directory: ServiceDirectory;
  readonly instancePool: InstancePool;
  readonly inboundStats: CallStats;
  readonly outboundStats: CallStats;
  readonly stopProgress: StopProgress;
  readonly quota: IngressQuota;
  /** Undefined before the first configuration. */
  readonly table: () => PolicyTable | undefined;
  /** Milliseconds since control confirmed that the configuration here is the newest. */
  readonly proofAgeMs: () => number;
}

/** Takes calls of other machines for the target. */
export function createGate(parts: SidecarServerParts): GateServer {
  const { clock, admission, lease, journal, stopProgress, settings, headers } = parts;
  const { queueLevels, downstream, retryBudget, repeatedRuns, crashGuard, instancePool } = parts;
  const durations = new CallDurations();
  return new GateServer({
    services: {
      clock,
      admission,
      claims: NO_CLAIMS,
      isLeaving: (kind) => !lease.isReady || !gateTakes(stopProgress, durations, kind),
      onMisdirected: (instance) => lease.onMisdirected(instance),
      queueLevels,
      downstreamLevel: () => downstream.current(),
      kindImpact: new KindImpact(clock),
      kindLimiter: new KindLimiter(clock),
      retryBudget,
      repeatedRuns,
      crashGuard,
    },
    transport: {
      clock,
      names: headers,
      target: () => instancePool.target(lease.current),
      allowsUnframed: settings.unframedAnswers === 'whole',
    },
    stats: parts.inboundStats,
    service: () => lease.current?.service,
    journal,
    origins: new OriginTracker(() => parts.directory.machines),
    durations,
  });
}

/** Takes requests of the clients and of the target on this machine. */
export function createIngress(parts: SidecarServerParts): IngressServer {
  const { clock, random, directory, links, settings, split, journal, headers, table } = parts;
  const { downstream, retryBudget, repeatedRuns, crashGuard, quota } = parts;
  return new IngressServer({
    clock,
    random,
    router: new OutboundRouter({ clock, random, directory, calleesBoundRepeats: true }),
    split,
    transport: {
      clock,
      links,
      names: headers,
      replacedHeaders: replacedHeaders(headers),
      callingService: () => settings.service,
    },
    stats: parts.outboundStats,
    bodyLimits: () => ({
      ...DEFAULT_BODY_LIMITS,
      maxBytes: (table() ?? EMPTY_POLICY_TABLE).ingress.maxBodyBytes,
    }),
    maxInFlight: settings.limits.maxInFlight,
    fractionalRetryAfter: settings.fractionalRetryAfter,
    table,
    proofAgeMs: parts.proofAgeMs,
    maxProofAgeMs: maxProofAgeMs(settings),
    quota,
    stop: parts.stopProgress,
    journal,
    downstream,
    retryBudget,
    repeatedRuns,
    nestedRoutes: new NestedRoutes(),
    isQuarantined: (fingerprint) => crashGuard.isQuarantined(fingerprint),
  });
}

/** Without a bound on how long a key that was taken away may run, any configuration will do. */
function maxProofAgeMs({ revocation }: SidecarSettings): number {
  return revocation === undefined ? Infinity : revocation.withinMs * PROOF_PART;
}
