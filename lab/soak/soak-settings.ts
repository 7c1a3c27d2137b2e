/** Settings of the programs of a soak. */
import type { SoakService } from './soak-plan.js';

const HEARTBEAT_MS = 500;
const MEMBER_LEASE_MS = 3_500;
const ELECTION_TIMEOUT_MS = 600;
/** Time from SIGTERM to SIGKILL, in milliseconds. */
export const GRACE_MS = 6_000;

/** The retry budget in the settings of the sidecars. */
export const RETRY_BUDGET = { ratio: 0.2, slack: 40, windowMs: 10_000 };

const HOST = '127.0.0.1';

export function originOf(port: number): string {
  return `http://${HOST}:${port}`;
}

export interface ControlPlace {
  readonly port: number;
  readonly seeds: readonly string[];
  readonly bootstrap: boolean;
  readonly voters: number;
  readonly dataDir: string;
}

export function controlSettings({ port, ...place }: ControlPlace): object {
  return {
    listen: { host: HOST, port },
    advertise: originOf(port),
    ...place,
    electionTimeoutMs: ELECTION_TIMEOUT_MS,
    memberLeaseMs: MEMBER_LEASE_MS,
    claims: false,
    declarations: 'open',
  };
}

export interface SidecarPlace {
  readonly service: SoakService;
  readonly inbound: number;
  /** Origin at which other sidecars reach `inbound`. */
  readonly advertise: string;
  readonly outbound: number;
  readonly registration: number;
  readonly target: number;
  /** Origins of control replicas. */
  readonly control: readonly string[];
}

export function sidecarSettings(place: SidecarPlace): object {
  const { service, inbound, advertise, outbound, registration, target, control } = place;
  return {
    service: service.name,
    inbound: { host: HOST, port: inbound },
    advertise,
    outbound: { host: HOST, port: outbound },
    registration: { host: HOST, port: registration },
    target: `${HOST}:${target}`,
    control,
    heartbeatIntervalMs: HEARTBEAT_MS,
    retries: RETRY_BUDGET,
    stop: { graceMs: GRACE_MS },
  };
}
