/**
 * Creates the parts of a node and applies new configurations and endpoint lists to them. Some parts depend on each other
 * (the follower announces the claim epoch and receives the claim view), so factories get a `getParts` function, which may be
 * called only after all parts are created.
 */
import { AdaptiveLimiter } from '../admission/adaptive-limiter.js';
import { AdmissionController } from '../admission/admission-controller.js';
import { TargetRateLimiter } from '../admission/target-rate-limiter.js';
import { SHARING_ORDERS } from '../admission/sharing-policy.js';
import { CallStats } from '../call/call-stats.js';
import type { Logger } from '../common/logger.js';
import { ClaimReplica } from '../dedup/claim-replica.js';
import { QuorumClaims, type QuorumClaimsOptions } from '../dedup/quorum-claims.js';
import type { ConfigurationView } from '../follower/configuration-view.js';
import type { Follower } from '../follower/follower.js';
import { InboundRegistry } from '../gate/inbound-registry.js';
import { HttpClaimTransport } from '../http/claim-transport.js';
import { ConnectionPools } from '../http/connection-pools.js';
import { TargetPool } from '../http/target-pool.js';
import { LeavingTarget } from '../membership/leaving-target.js';
import { refusesConnections } from '../membership/port-probe.js';
import { TargetAnnouncements } from '../membership/target-announcements.js';
import { DEFAULT_SERVICE_SPEC, type ServiceSpec } from '../policy/resource-schema.js';
import type { ServiceDirectory } from '../routing/service-directory.js';
import type { NodeSettings } from '../settings/node-settings.js';
import {
  applyEndpoints,
  createDirectory,
  createProcessFollower,
  tableOf,
  type ProcessContext,
} from './follower-setup.js';
import { createProcessClock } from './clock-logger.js';
import { processRandom } from './process-random.js';

/** Maximum connections to one node of another service. */
const CONNECTIONS_PER_NODE = 128;
/** Port of an HTTP origin that names none. */
const DEFAULT_HTTP_PORT = 80;

/** Reasons for which a node takes no new calls. It is leaving if at least one of them holds. */
export class LeavingState {
  isStopping = false;
  /** Control lists this node as leaving. */
  isListedAsLeaving = false;
  /** A newer process uses the same id. */
  isSuperseded = false;

  get isLeaving(): boolean {
    return this.isStopping || this.isListedAsLeaving || this.isSuperseded;
  }
}

interface NodeBase extends ProcessContext {
  readonly settings: NodeSettings;
  /** Wall-clock time at which the process started, in milliseconds. */
  readonly incarnation: number;
  readonly leavingState: LeavingState;
}

/** Admission control in front of the target. */
interface GateParts {
  readonly limiter: AdaptiveLimiter;
  readonly announcements: TargetAnnouncements;
  readonly leavingTarget: LeavingTarget;
  readonly admission: AdmissionController;
  readonly targetPool: TargetPool;
}

/** Claims of idempotency keys: the replica that this node hosts for its service, and the client that requests claims. */
interface ClaimParts {
  readonly claimReplica: ClaimReplica;
  readonly claims: QuorumClaims;
}

export interface NodeParts extends NodeBase, GateParts, ClaimParts {
  readonly inboundStats: CallStats;
  readonly outboundStats: CallStats;
  /** Calls in flight at the target, used to match the target's own calls to them. */
  readonly registry: InboundRegistry;
  /** Connections to other nodes. */
  readonly pools: ConnectionPools;
  readonly directory: ServiceDirectory;
  readonly follower: Follower;
  /** Origin announced for the inbound server; empty until it listens, unless the settings have one. */
  advertised: string;
}

/** Returns all parts; may be called only after they are created. */
type PartsGetter = () => NodeParts;

/** Creates the parts without starting them. */
export function createNodeParts(settings: NodeSettings, logger: Logger): NodeParts {
  const getParts: PartsGetter = () => parts;
  const base: NodeBase = {
    clock: createProcessClock(logger),
    random: processRandom(),
    settings,
    logger,
    incarnation: Date.now(),
    leavingState: new LeavingState(),
  };
  const pools = new ConnectionPools({ connections: CONNECTIONS_PER_NODE });
  const parts: NodeParts = {
    ...base,
    ...createGateParts(base, getParts),
    ...createClaimParts(base, pools, getParts),
    inboundStats: new CallStats(),
    outboundStats: new CallStats(),
    registry: new InboundRegistry(),
    pools,
    directory: createDirectory(
      base,
      (service) => tableOf(getParts().follower).serviceSpec(service).slowStartMs,
    ),
    follower: createFollower(base, getParts),
    advertised: settings.advertise ?? '',
  };
  return parts;
}

function createGateParts(base: NodeBase, getParts: PartsGetter): GateParts {
  const { clock, random, settings } = base;
  const limiter = new AdaptiveLimiter(DEFAULT_SERVICE_SPEC.concurrency, random);
  const rateLimiter = new TargetRateLimiter(clock);
  rateLimiter.hold();
  // Targets of nodes are not probed.
  rateLimiter.release(false);
  const admission = new AdmissionController({
    clock,
    random,
    limiter,
    rateLimiter,
    order: SHARING_ORDERS['share-first'],
    shareOf: (group) => tableOf(getParts().follower).shareOf(group),
    totalShare: () => tableOf(getParts().follower).totalShare,
    queueWaitMs: () => specOf(getParts()).queueWaitMs,
  });
  const targetPool = new TargetPool(settings.target.origin, DEFAULT_SERVICE_SPEC.connections);
  return {
    limiter,
    admission,
    targetPool,
    ...createTargetWatch(base, rateLimiter, () => admission.refuseWaiting()),
  };
}

/** Tracks the announcements of the target. @param onLeaving called when the target announces its shutdown */
function createTargetWatch(
  { clock, settings, logger }: NodeBase,
  rateLimiter: TargetRateLimiter,
  onLeaving: () => void,
): Pick<GateParts, 'announcements' | 'leavingTarget'> {
  const { origin } = settings.target;
  const { hostname, port } = new URL(origin);
  const address = `${hostname}:${port || DEFAULT_HTTP_PORT}`;
  const announcements = new TargetAnnouncements(
    rateLimiter,
    () => {
      leavingTarget.begin();
      onLeaving();
    },
    logger.part('target'),
  );
  // Targets of nodes have no id: they are told apart by counting them.
  let targets = 0;
  const onNewTarget = (): void =>
    announcements.onTarget({ instance: origin, born: (targets += 1) });
  const leavingTarget = new LeavingTarget(clock, () => refusesConnections(address), onNewTarget);
  onNewTarget();
  return { announcements, leavingTarget };
}

function createClaimParts(
  { clock, incarnation, settings }: NodeBase,
  pools: ConnectionPools,
  getParts: PartsGetter,
): ClaimParts {
  const transport = new HttpClaimTransport({
    pools,
    linkToken: settings.linkToken,
    getOrigin: (nodeId) => getParts().follower.view.endpoint(nodeId)?.origin,
  });
  const shared: Omit<QuorumClaimsOptions, 'replica'> = {
    clock,
    selfId: settings.id,
    incarnation,
    transport,
  };
  const silentForMs = (): number => getParts().follower.silentForMs();
  const claimReplica = new ClaimReplica({ ...shared, silentForMs });
  return { claimReplica, claims: new QuorumClaims({ ...shared, replica: claimReplica }) };
}

function createFollower(base: NodeBase, getParts: PartsGetter): Follower {
  const { settings, incarnation, leavingState, logger } = base;
  return createProcessFollower(base, {
    identity: () => ({
      id: settings.id,
      role: 'node',
      incarnation,
      zone: settings.zone,
      service: settings.service,
      origin: getParts().advertised,
      claimEpoch: getParts().claimReplica.settledEpoch,
    }),
    onConfiguration: (view) => applyConfiguration(getParts(), view),
    onEndpoints: (view) => applyNodeEndpoints(getParts(), view),
    onSuperseded: () => {
      if (!leavingState.isSuperseded) {
        logger.error('A newer process uses the same id; refusing new calls.');
      }
      leavingState.isSuperseded = true;
    },
  });
}

/** Returns the current specification of this node's service. */
function specOf({ settings, follower }: NodeParts): ServiceSpec {
  return tableOf(follower).serviceSpec(settings.service);
}

/** Dispatches queued calls last, as the concurrency limit may have been raised. */
function applyConfiguration(parts: NodeParts, view: ConfigurationView): void {
  const { settings, claimReplica, limiter, targetPool, admission } = parts;
  const claimView = view.resource({ kind: 'ClaimView', name: settings.service });
  if (claimView?.kind === 'ClaimView') claimReplica.setView(claimView);
  const { concurrency, connections } = specOf(parts);
  limiter.configure(concurrency);
  targetPool.configure(connections);
  admission.dispatch();
}

function applyNodeEndpoints(parts: NodeParts, view: ConfigurationView): void {
  const { settings, incarnation, leavingState, directory, pools } = parts;
  const own = view.endpoint(settings.id);
  leavingState.isListedAsLeaving = own?.incarnation === incarnation && own.state === 'leaving';
  applyEndpoints(view, directory, pools);
}
