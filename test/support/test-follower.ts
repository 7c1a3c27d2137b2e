/** Creates a follower in virtual time with a control link provided by the test. */
import type { RandomSource } from '../../src/common/random.js';
import type { VirtualClock } from '../../src/common/virtual-clock.js';
import type { ControlTransport } from '../../src/http/control-client.js';
import { Follower } from '../../src/follower/follower.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';

export interface TestFollowerOptions {
  readonly clock: VirtualClock;
  readonly client: ControlTransport;
  readonly controlOrigins: readonly string[];
  /** Defaults to a source that always selects the first element. */
  readonly random?: RandomSource;
  readonly heartbeatIntervalMs?: number;
}

const FIRST_CHOICE: RandomSource = { next: () => 0, nextInt: () => 0 };

export function createTestFollower(options: TestFollowerOptions): Follower {
  return new Follower({
    random: FIRST_CHOICE,
    ...options,
    logger: SILENT_LOGGER,
    identity: () => ({
      id: 'node-1',
      role: 'node',
      incarnation: 1,
      zone: 'zone-a',
      service: 'ledger',
      origin: 'http://127.0.0.1:1',
      claimEpoch: 0,
    }),
    onConfiguration: () => undefined,
    onEndpoints: () => undefined,
    onSuperseded: () => undefined,
  });
}

/** Advances virtual time in steps and runs pending promise callbacks after each step. */
export async function advance(
  clock: VirtualClock,
  durationMs: number,
  stepMs: number,
): Promise<void> {
  const turns = 20;
  for (let passed = 0; passed < durationMs; passed += stepMs) {
    clock.advance(stepMs);
    for (let turn = 0; turn < turns; turn += 1) await Promise.resolve();
  }
}
