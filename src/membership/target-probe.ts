/**
 * Probes the health check of a target after a restart of its sidecar, so that a healthy target can be used before its next
 * periodic report. The instance id and the slots are taken from the response headers.
 */
import { request } from 'undici';
import { readAnnouncement, type TargetAnnouncement } from '../http/target-announcement.js';
import { headerValue, type TargetHeaders } from '../http/target-headers.js';
import { parseTargetLoad } from '../http/target-load.js';
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

/** The answer of a target to a probe. */
export interface ProbeAnswer {
  /** Id of the instance that answered. */
  readonly instance: string;
  /**
   * The answer as a report that is older than any report the target sends itself; undefined if the target is unhealthy or
   * leaving, or does not report its slots.
   */
  readonly report: TargetReport | undefined;
  readonly announcement: TargetAnnouncement;
}

/** Probes a target. @returns undefined if the target does not respond, or does not report its id */
export async function probeTarget(
  target: ProbedTarget,
  names: TargetHeaders,
): Promise<ProbeAnswer | undefined> {
  const { address, service, path } = target;
  try {
    const response = await request(`http://${address}${path}`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
      headers: { connection: 'close' },
    });
    await response.body.dump();
    const instance = headerValue(response.headers, names.instanceId);
    if (instance === undefined) return undefined;
    const slots = parseTargetLoad(headerValue(response.headers, names.load))?.slots;
    const isUsable = response.statusCode === HttpStatus.Ok && slots !== undefined;
    const identity = { instance, service, address };
    return {
      instance,
      report: isUsable
        ? { ...identity, slots, state: 'ready', sequence: 0, coldRemainingMs: 0 }
        : undefined,
      announcement: readAnnouncement(names, response.headers),
    };
  } catch {
    // Timeout or connection failure: the sidecar logs it and waits for a report of the target.
    return undefined;
  }
}
