/**
 * Builds the ingress of a sidecar, which takes requests of the clients and of the target on its machine. Owns what only the
 * ingress keeps: who makes the calls of each route. Relies on the parts of the sidecar.
 */
import { DEFAULT_BODY_LIMITS } from '../http/request-body.js';
import { IngressServer } from '../ingress/ingress-server.js';
import { replacedHeaders } from '../link/peer-transport.js';
import { OutboundRouter } from '../outbound/outbound-router.js';
import { NestedRoutes } from '../routing/nested-routes.js';
import type { SidecarSettings } from '../settings/sidecar-settings.js';
import { tableOf } from './following-process.js';
import type { SidecarParts } from './sidecar-parts.js';

/**
 * Part of the time within which a revocation takes effect that the proof of a configuration may be old; the rest is for
 * clocks that differ and for the way of a request through this process.
 */
const PROOF_AGE_FRACTION = 0.9;

/** Takes requests of the clients and of the target on this machine. */
export function createIngress(parts: SidecarParts): IngressServer {
  const { clock, random, directory, links, settings, split, journal, headers } = parts;
  const { downstream, retryBudget, repeatedRuns, crashGuard, quota, follower } = parts;
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
    nestedRoutes: new NestedRoutes(),
    isQuarantined: (fingerprint) => crashGuard.isQuarantined(fingerprint),
  });
}

/** Without a bound on how long a key that was taken away may run, any configuration will do. */
function maxProofAgeMs({ revocation }: SidecarSettings): number {
  return revocation === undefined ? Infinity : revocation.withinMs * PROOF_AGE_FRACTION;
}
