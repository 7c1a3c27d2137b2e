/** Registers the targets of a soak at their sidecars, and repeats the registrations. */
import { request } from 'undici';
import type { SoakService } from './soak-plan.js';
import type { SoakTarget } from './soak-target.js';

/** A target and the sidecar beside it. */
export interface ReportedTarget {
  readonly target: Pick<SoakTarget, 'address' | 'instance' | 'isCrashed'>;
  readonly service: SoakService;
  /** Origin at which the sidecar takes registrations. */
  readonly registration: string;
}

const INTERVAL_MS = 500;

export class TargetReports {
  private sequence = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly targets: readonly ReportedTarget[]) {
    this.timer = setInterval(() => this.reportAll(), INTERVAL_MS);
    this.reportAll();
  }

  end(): void {
    clearInterval(this.timer);
  }

  private reportAll(): void {
    this.sequence += 1;
    for (const each of this.targets) void report(each, this.sequence);
  }
}

async function report(
  { target, service, registration }: ReportedTarget,
  sequence: number,
): Promise<void> {
  const { address, instance, isCrashed } = target;
  if (isCrashed) return;
  const { name, slots } = service;
  try {
    const response = await request(`${registration}/v1/instances/${instance}`, {
      method: 'PUT',
      body: JSON.stringify({ service: name, address, slots, state: 'ready', sequence }),
      signal: AbortSignal.timeout(INTERVAL_MS),
    });
    await response.body.dump();
  } catch {
    // The sidecar is down or paused; the next report repeats the registration.
  }
}
