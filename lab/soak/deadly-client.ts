/** Repeatedly sends the same deadly request, one that crashes each target that runs it, through random machines. */
import { request } from 'undici';
import type { RandomSource } from '../../src/common/random.js';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import type { SoakMachine } from './soak-fleet.js';
import { READ_PATH, SOAK_HOST } from './soak-operator.js';
import { FaultKind, type PlannedFault } from './soak-plan.js';

/** Prefix of the last path segment of a request that crashes the target that runs it. */
export const DEADLY_PREFIX = 'deadly-';
/** Prefix of the last path segment of a request whose target makes a deadly call to the next service. */
export const CALLS_DEADLY_PREFIX = 'calls-';

export interface DeadlyClientContext {
  readonly random: RandomSource;
  readonly machines: readonly SoakMachine[];
  readonly deadlineMs: number;
  readonly now: () => number;
}

export class DeadlyClient {
  private sent = 0;

  constructor(private readonly context: DeadlyClientContext) {}

  /** Sends the request until the duration of the fault has elapsed. */
  async run(fault: PlannedFault): Promise<void> {
    const { now, random, machines } = this.context;
    const untilMs = now() + fault.forMs;
    while (now() < untilMs) {
      void this.send(machines[random.nextInt(machines.length)]!, fault);
      await new Promise((resolve) => setTimeout(resolve, fault.gapMs));
    }
  }

  private async send({ outbound }: SoakMachine, { kind, victim }: PlannedFault): Promise<void> {
    const last = DEADLY_PREFIX + victim;
    const path = kind === FaultKind.DeadlyCall ? CALLS_DEADLY_PREFIX + last : last;
    try {
      const response = await request(outbound + READ_PATH + path, {
        headers: {
          host: SOAK_HOST,
          [DEFAULT_TARGET_HEADERS.requestId]: `${last}-${(this.sent += 1)}`,
          [DEFAULT_TARGET_HEADERS.deadlineMs]: String(this.context.deadlineMs),
        },
        signal: AbortSignal.timeout(this.context.deadlineMs),
      });
      await response.body.dump();
    } catch {
      // Expected: the sidecar is down, or the target crashed before it responded.
    }
  }
}
