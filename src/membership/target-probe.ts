/**
 * Asks the target of a machine for its health once a restarted sidecar knows where: targets report themselves only now and
 * then, and until the next report a sound target would stand idle.
 *
 * For: the wiring of a sidecar, which asks once, if no report has come. Owns: the time limit of the probe. Relies on: a
 * target that names itself and its slots in the answer's headers, and on the sidecar to log what was found.
 */
import { request } from 'undici';
import { headerValue, type TargetHeaders } from '../http/target-headers.js';
import type { TargetReport } from './target-lease.js';
import { HttpStatus } from '../common/http-status.js';

/** Whom to ask. */
export interface ProbedTarget {
  /** `ADDRESS:PORT` that the target serves. */
  readonly address: string;
  readonly service: string;
  /** Path of the service's health check. */
  readonly path: string;
}

/** A probe waits for a slot like a request, so a busy target needs some time. */
const TIMEOUT_MS = 1_000;
/** Fields of the load that a target tells: running, waiting, slots. */
const LOAD_FIELDS = 3;

/**
 * What a sound target says about itself, as a report older than any that it sends.
 * @returns undefined when it does not answer, is not well, is leaving, or does not say what it is
 */
export async function probeTarget(
  target: ProbedTarget,
  names: TargetHeaders,
): Promise<TargetReport | undefined> {
  const { address, service, path } = target;
  try {
    const response = await request(`http://${address}${path}`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
      headers: { connection: 'close' },
    });
    await response.body.dump();
    if (response.statusCode !== HttpStatus.Ok) return undefined;
    const instance = headerValue(response.headers, names.instanceId);
    const slots = slotsOf(headerValue(response.headers, names.load));
    if (instance === undefined || slots === undefined) return undefined;
    return { instance, service, address, slots, state: 'ready', sequence: 0, coldRemainingMs: 0 };
  } catch {
    // No answer in time, or no connection: the sidecar logs that none was found, and waits for the target's own report.
    return undefined;
  }
}

/** The slots in a load of the form `RUNNING,WAITING,SLOTS`. */
function slotsOf(load: string | undefined): number | undefined {
  const fields = load?.split(',') ?? [];
  const slots = Number(fields[LOAD_FIELDS - 1]);
  return fields.length === LOAD_FIELDS && Number.isInteger(slots) && slots > 0 ? slots : undefined;
}
