/** A follower of a test: in virtual time, over a link that the test makes. */
import type { RandomSource } from '../../src/common/random.js';
import type { VirtualClock } from '../../src/common/virtual-clock.js';
import type { ControlLink } from '../../src/http/control-client.js';
import { Follower } from '../../src/follower/follower.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';

/** What a test chooses. */
export interface TestFollowerOptions {
  readonly clock: VirtualClock;
  readonly client: ControlLink;
  readonly controlOrigins: readonly string[];
  /** Default: always the first choice. */
  readonly random?: RandomSource;
  readonly heartbeatIntervalMs?: number;
}

const FIRST_CHOICE: RandomSource = { next: () => 0, below: () => 0 };

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

/** Lets virtual time pass in steps, and what awaits promises go on after each. */
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
