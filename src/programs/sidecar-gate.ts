/** Creates the gate of a sidecar. */
import { KindImpact } from '../admission/kind-impact.js';
import { KindLimiter } from '../admission/kind-limiter.js';
import { KindCircuitBreaker } from '../admission/kind-circuit-breaker.js';
import { CallDurations } from '../call/call-durations.js';
import { gateAccepts } from '../call/stop-policy.js';
import { NO_CLAIMS } from '../dedup/no-claims.js';
import { GateServer } from '../gate/gate-server.js';
import { OriginTracker } from '../routing/origin-tracker.js';
import { callerFraction } from '../routing/subset.js';
import type { SidecarParts } from './sidecar-parts.js';

/** Creates the gate, which admits calls from other machines to the target. */
export function createGate(parts: SidecarParts): GateServer {
  const { clock, admission, lease, journal, stopProgress, settings, headers } = parts;
  const {
    kindPace,
    unservedRuns,
    targetLoad,
    queueLevels,
    downstream,
    retryBudget,
    repeatedRuns,
    crashGuard,
    instancePool,
    roomParts,
  } = parts;
  const durations = new CallDurations();
  return new GateServer({
    services: {
      clock,
      admission,
      claims: NO_CLAIMS,
      isLeaving: (kind) => !lease.isReady || !gateAccepts(stopProgress, durations, kind),
      onMisdirected: (instance) => lease.onMisdirected(instance),
      queueLevels,
      downstreamLevel: () => downstream.current(),
      kindImpact: new KindImpact(clock),
      kindLimiter: new KindLimiter(clock),
      runOutcomes: new KindCircuitBreaker(),
      kindPace,
      unservedRuns,
      targetLoad,
      retryBudget,
      repeatedRuns,
      crashGuard,
      bottlenecks: roomParts?.bottlenecks,
      isFavoured: (service, importance) => roomParts?.room.favours(service, importance) === true,
    },
    transport: {
      clock,
      names: headers,
      target: () => instancePool.getConnection(lease.current),
      onAnnouncement: (incarnation, sentAt, announcement) =>
        parts.announcements.onAnswer(incarnation, sentAt, announcement),
      onLoad: (incarnation, load) => {
        if (incarnation === lease.current?.incarnation) targetLoad.onReport(load);
      },
      allowsUnframed: settings.unframedAnswers === 'whole',
    },
    stats: parts.inboundStats,
    service: () => lease.current?.service,
    journal,
    origins: new OriginTracker(
      () => parts.directory.endpointCountByService,
      () => callerFraction(parts.directory.endpointCountByService.get(parts.settings.service) ?? 0),
    ),
    durations,
  });
}
