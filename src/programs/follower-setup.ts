/**
 * Setup shared by edge, node and sidecar: each follows control, calls the endpoints that control lists, and is ready once it
 * has a configuration.
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

/** Dependencies that exist before the follower is created. */
export interface ProcessContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: FollowerSettings;
  readonly logger: Logger;
}

/** Follower options that differ between the programs. */
export type ProgramFollowerOptions = Omit<
  FollowerOptions,
  'clock' | 'random' | 'client' | 'controlOrigins' | 'logger'
>;

/** Connection pools by origin. */
interface Connections {
  /** Closes the connections to all origins that are not in `origins`. */
  retain(origins: ReadonlySet<string>): void;
}

/** Details in the response of /readyz; they differ between the programs. */
interface ReadinessDetails {
  readonly leaving: string;
  readonly unconfigured: string;
}

/** Creates the follower, which connects to control once it is started. */
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
 * Creates the directory of the endpoints that this process may call.
 * @param slowStartMs returns the slow start duration of a service in milliseconds
 */
export function createDirectory(
  { clock, random, settings }: ProcessContext,
  slowStartMs: (service: string) => number,
): ServiceDirectory {
  const { id: callerId, zone: callerZone } = settings;
  return new ServiceDirectory({ clock, random, callerId, callerZone, slowStartMs });
}

/** Updates the directory with a new endpoint list and closes connections to endpoints that are no longer listed. */
export function applyEndpoints(
  view: ConfigurationView,
  directory: ServiceDirectory,
  connections: Connections,
): void {
  directory.update(view.endpointList());
  connections.retain(directory.origins());
}

/** Readiness for /readyz: not ready while the process is leaving or has no configuration. */
export function followerReadiness(
  isLeaving: boolean,
  { view }: Pick<Follower, 'view'>,
  details: ReadinessDetails,
): ReadinessReport {
  if (isLeaving) return { ready: false, detail: details.leaving };
  if (view.table === undefined) return { ready: false, detail: details.unconfigured };
  return { ready: true, detail: 'ready' };
}

/** Returns the current policy table, or an empty one before the first configuration. */
export function tableOf({ view }: Pick<Follower, 'view'>): PolicyTable {
  return view.table ?? EMPTY_POLICY_TABLE;
}

/** Limits for request bodies, with the maximum size taken from the settings. */
export function bodyLimitsOf({ limits }: FollowerSettings): BodyLimits {
  return { ...DEFAULT_BODY_LIMITS, maxBytes: limits.maxBodyBytes };
}
