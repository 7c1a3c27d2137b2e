/**
 * Probes the health check of a target after a restart of its sidecar, so that a healthy target can be used before its next
 * periodic report. The instance id and the slots are taken from the response headers.
 */
import { request } from 'undici';
import { headerValue, type TargetHeaders } from '../http/target-headers.js';
import type { TargetReport } from './target-lease.js';
import { HttpStatus } from '../common/http-status.js';

/** The target to probe. */
export interface ProbedTarget {
  /** `ADDRESS:PORT` that the target serves. */
  readonly address: string;
  readonly service: string;
  /** Path of the service's health check. */
  readonly path: string;
}

/** Timeout of a probe, in milliseconds. A probe waits for a slot like any request, so a busy target responds slowly. */
const TIMEOUT_MS = 1_000;
/** Number of fields in the load header: running, waiting, slots. */
const LOAD_FIELDS = 3;

/**
 * Probes a target and returns the result as a report that is older than any report the target sends itself.
 * @returns undefined if the target does not respond, is unhealthy or leaving, or does not report its id and slots
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
    // Timeout or connection failure: the sidecar logs it and waits for a report of the target.
    return undefined;
  }
}

/** Parses the slots from a load of the form `RUNNING,WAITING,SLOTS`; undefined if it is malformed. */
function slotsOf(load: string | undefined): number | undefined {
  const fields = load?.split(',') ?? [];
  const slots = Number(fields[LOAD_FIELDS - 1]);
  return fields.length === LOAD_FIELDS && Number.isInteger(slots) && slots > 0 ? slots : undefined;
}
