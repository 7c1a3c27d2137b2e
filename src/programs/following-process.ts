/**
 * What edge, node and sidecar have in common: each follows control, calls the endpoints that control lists, and is ready
 * once it has a configuration. One copy for all three. Owns nothing: it builds the follower and the directory that their
 * program owns. Relies on the settings that all three share.
 */
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import type { RandomSource } from '../common/random.js';
import type { ConfigurationView } from '../follower/configuration-view.js';
import { Follower, type FollowerOptions } from '../follower/follower.js';
import { ControlClient } from '../http/control-client.js';
import { DEFAULT_BODY_LIMITS, type BodyLimits } from '../http/request-body.js';
import type { ReadinessReport } from '../observe/admin-server.js';
import { EMPTY_POLICY_TABLE, type PolicyTable } from '../policy/policy-table.js';
import { ServiceDirectory } from '../routing/service-directory.js';
import type { FollowerSettings } from '../settings/shared-settings.js';

/** What such a process has from its start. */
export interface ProcessContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: FollowerSettings;
  readonly logger: Logger;
}

/** What differs between the programs. */
export type ProgramFollowerOptions = Omit<
  FollowerOptions,
  'clock' | 'random' | 'client' | 'controlOrigins' | 'logger'
>;

/** Connections to other processes, by origin. */
interface Connections {
  /** Ends those to all other origins. */
  retain(origins: ReadonlySet<string>): void;
}

/** Where /readyz gives its reason in the words that each program has had from its beginning. */
interface ReadinessDetails {
  readonly leaving: string;
  readonly unconfigured: string;
}

/** The link to control. It is silent until it is started. */
export function createProcessFollower(
  { clock, random, settings, logger }: ProcessContext,
  options: ProgramFollowerOptions,
): Follower {
  return new Follower({
    ...options,
    clock,
    random,
    client: new ControlClient(settings.linkToken),
    controlOrigins: settings.control,
    logger: logger.part('follower'),
  });
}

/**
 * The endpoints that this process may call.
 * @param slowStartMs of a service: time over which a new endpoint takes up its load
 */
export function createDirectory(
  { clock, random, settings }: ProcessContext,
  slowStartMs: (service: string) => number,
): ServiceDirectory {
  const { id: callerId, zone: callerZone } = settings;
  return new ServiceDirectory({ clock, random, callerId, callerZone, slowStartMs });
}

/** A new list of endpoints is in force: those that are not on it are called no more. */
export function applyEndpoints(
  view: ConfigurationView,
  directory: ServiceDirectory,
  connections: Connections,
): void {
  directory.update(view.endpointList());
  connections.retain(directory.origins());
}

/** The answer of /readyz: not while the process leaves, and not before it has a configuration. */
export function followerReadiness(
  isLeaving: boolean,
  { view }: Pick<Follower, 'view'>,
  details: ReadinessDetails,
): ReadinessReport {
  if (isLeaving) return { ready: false, detail: details.leaving };
  if (view.table === undefined) return { ready: false, detail: details.unconfigured };
  return { ready: true, detail: 'ready' };
}

/** The configuration in force, or an empty one before the first. */
export function tableOf({ view }: Pick<Follower, 'view'>): PolicyTable {
  return view.table ?? EMPTY_POLICY_TABLE;
}

/** Bounds on the bodies of requests, where settings give the longest. */
export function bodyLimitsOf({ limits }: FollowerSettings): BodyLimits {
  return { ...DEFAULT_BODY_LIMITS, maxBytes: limits.maxBodyBytes };
}
