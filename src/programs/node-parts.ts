/**
 * The parts of a node, built in one place, and what a new configuration or a new list of endpoints changes in them. Some
 * parts know each other both ways (the follower announces the claims' epoch, and brings the claims' view), so these get
 * `later`, to be called once all are built. Owns nothing itself; the program keeps what is built here until it ends.
 */
import { AdaptiveLimiter } from '../admission/adaptive-limiter.js';
import { AdmissionController } from '../admission/admission-controller.js';
import { SHARING_ORDERS } from '../admission/sharing-policy.js';
import { CallStats } from '../call/call-stats.js';
import { SystemClock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import { ClaimReplica } from '../dedup/claim-replica.js';
import { QuorumClaims, type QuorumClaimsOptions } from '../dedup/quorum-claims.js';
import type { ConfigurationView } from '../follower/configuration-view.js';
import type { Follower } from '../follower/follower.js';
import { InboundRegistry } from '../gate/inbound-registry.js';
import { HttpClaimTransport } from '../http/claim-link.js';
import { ConnectionPools } from '../http/connection-pools.js';
import { TargetPool } from '../http/target-pool.js';
import { DEFAULT_SERVICE_SPEC, type ServiceSpec } from '../policy/resource-schema.js';
import type { ServiceDirectory } from '../routing/service-directory.js';
import type { NodeSettings } from '../settings/node-settings.js';
import {
  applyEndpoints,
  createDirectory,
  createProcessFollower,
  tableOf,
  type ProcessContext,
} from './following-process.js';
import { processRandom } from './process-random.js';

/** Connections that a node opens to one node of another service. */
const CONNECTIONS_PER_NODE = 128;

/** Why a node takes no new calls; any one of these is enough. */
export class LeavingState {
  isStopping = false;
  /** The platform says that this machine leaves. */
  isRemoved = false;
  /** A newer process has this one's id. */
  isSuperseded = false;

  get isLeaving(): boolean {
    return this.isStopping || this.isRemoved || this.isSuperseded;
  }
}

/** The node itself. */
interface NodeBase extends ProcessContext {
  readonly settings: NodeSettings;
  /** Wall-clock milliseconds at which the process started. */
  readonly incarnation: number;
  readonly leavingState: LeavingState;
}

/** The gate before the target. */
interface GateParts {
  readonly limiter: AdaptiveLimiter;
  readonly admission: AdmissionController;
  readonly targetPool: TargetPool;
}

/** The claims of idempotency keys: those that this node keeps for its service, and those that it asks for. */
interface ClaimParts {
  readonly claimReplica: ClaimReplica;
  readonly claims: QuorumClaims;
}

/** All parts of a node. */
export interface NodeParts extends NodeBase, GateParts, ClaimParts {
  readonly inboundStats: CallStats;
  readonly outboundStats: CallStats;
  /** Calls under way at the target, by which its own calls are known. */
  readonly registry: InboundRegistry;
  /** Connections to other nodes. */
  readonly pools: ConnectionPools;
  readonly directory: ServiceDirectory;
  readonly follower: Follower;
  /** Origin that others reach the inbound side under; empty until that listens, where settings name none. */
  advertised: string;
}

/** Gives all parts, once they are built. */
type PartsGetter = () => NodeParts;

/** Builds the parts. Nothing runs and nothing listens before the program starts them. */
export function createNodeParts(settings: NodeSettings, logger: Logger): NodeParts {
  const getParts: PartsGetter = () => parts;
  const base: NodeBase = {
    clock: new SystemClock(),
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

function createGateParts({ clock, random, settings }: NodeBase, getParts: PartsGetter): GateParts {
  const limiter = new AdaptiveLimiter(DEFAULT_SERVICE_SPEC.concurrency, random);
  const admission = new AdmissionController({
    clock,
    random,
    limiter,
    order: SHARING_ORDERS['share-first'],
    shareOf: (group) => tableOf(getParts().follower).shareOf(group),
    totalShare: () => tableOf(getParts().follower).totalShare,
    queueWaitMs: () => specOf(getParts()).queueWaitMs,
  });
  const targetPool = new TargetPool(settings.target.origin, DEFAULT_SERVICE_SPEC.connections);
  return { limiter, admission, targetPool };
}

function createClaimParts(
  { clock, incarnation, settings }: NodeBase,
  pools: ConnectionPools,
  getParts: PartsGetter,
): ClaimParts {
  const transport = new HttpClaimTransport({
    pools,
    linkToken: settings.linkToken,
    originOf: (nodeId) => getParts().follower.view.endpoint(nodeId)?.origin,
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
        logger.error('Another process with this id is newer. Taking no new calls.');
      }
      leavingState.isSuperseded = true;
    },
  });
}

/** What the configuration in force says of the service of this node. */
function specOf({ settings, follower }: NodeParts): ServiceSpec {
  return tableOf(follower).serviceSpec(settings.service);
}

/** The limit may have risen, so calls that wait are looked at last. */
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
  leavingState.isRemoved = own?.incarnation === incarnation && own.state === 'leaving';
  applyEndpoints(view, directory, pools);
}
