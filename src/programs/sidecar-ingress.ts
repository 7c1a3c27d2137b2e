/** Creates the ingress of a sidecar. */
import { DEFAULT_BODY_LIMITS } from '../http/request-body.js';
import { IngressServer } from '../ingress/ingress-server.js';
import { replacedHeaders } from '../link/peer-transport.js';
import { OutboundRouter } from '../outbound/outbound-router.js';
import { NestedRoutes } from '../routing/nested-routes.js';
import type { SidecarSettings } from '../settings/sidecar-settings.js';
import { tableOf } from './follower-setup.js';
import type { SidecarParts } from './sidecar-parts.js';

/**
 * Maximum age of the proof that the configuration is current, as a fraction of the revocation time. The rest covers clock
 * differences and the time that a request spends in this process.
 */
const PROOF_AGE_FRACTION = 0.9;

/** Creates the ingress, which accepts requests from clients and from the target on this machine. */
export function createIngress(parts: SidecarParts): IngressServer {
  const { clock, random, directory, links, settings, split, journal, headers } = parts;
  const { downstream, retryBudget, repeatedRuns, crashGuard, quota, follower, roomParts } = parts;
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
      maxBytes: tableOf(follower).ingress.maxBodyBytes,
    }),
    maxInFlight: settings.limits.maxInFlight,
    fractionalRetryAfter: settings.fractionalRetryAfter,
    table: () => follower.view.table,
    proofAgeMs: () => follower.proofAgeMs(),
    maxProofAgeMs: maxProofAgeMs(settings),
    quota,
    stop: parts.stopProgress,
    journal,
    downstream,
    retryBudget,
    repeatedRuns,
    bottlenecks: roomParts?.bottlenecks,
    room: roomParts?.room,
    nestedRoutes: new NestedRoutes(),
    isQuarantined: (fingerprint) => crashGuard.isQuarantined(fingerprint),
  });
}

/** Without a configured revocation time, a configuration of any age is accepted. */
function maxProofAgeMs({ revocation }: SidecarSettings): number {
  return revocation === undefined ? Infinity : revocation.withinMs * PROOF_AGE_FRACTION;
}
