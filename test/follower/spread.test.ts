/** Guards against all followers of a lost replica switching to the same other replica. */
import { expect } from 'chai';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { HeartbeatReply } from '../../src/sync/heartbeat.js';
import { HEARTBEAT_PATH } from '../../src/sync/sync-protocol.js';
import {
  ExchangeFailure,
  type ControlTransport,
  type Exchange,
} from '../../src/http/control-client.js';
import { advance, createTestFollower } from '../support/test-follower.js';

const ORIGINS = ['lost', 'second', 'third', 'fourth'];
const FOLLOWERS = 60;
const STEP_MS = 50;
/** Distance between seeds: generators with adjacent seeds begin with the same numbers. */
const SEED_STEP = 0x9e3779b1;

/** Link to four replicas, of which the first never replies. Records the origin of the last sync. */
class Replicas implements ControlTransport {
  syncedWith = '';

  constructor(private readonly clock: VirtualClock) {}

  send<Answer>(origin: string, path: string): Promise<Exchange<Answer>> {
    if (path !== HEARTBEAT_PATH) this.syncedWith = origin;
    else if (origin !== 'lost') {
      const answer: HeartbeatReply = { type: 'ok', revision: 1, isCurrent: true };
      return Promise.resolve({ type: 'answered', answer: answer as Answer });
    }
    const timeoutMs = origin === 'lost' ? 500 : 12_000;
    return new Promise((resolve) => {
      this.clock.schedule(timeoutMs, () =>
        resolve({ type: 'failed', failure: ExchangeFailure.TimedOut, detail: 'no answer' }),
      );
    });
  }
}

async function originAfterLoss(seed: number): Promise<string> {
  const clock = new VirtualClock();
  const replicas = new Replicas(clock);
  const random = new SeededRandom(seed * SEED_STEP);
  const follower = createTestFollower({
    clock,
    // The first draw selects the initial replica: the lost one.
    random: { next: () => random.next(), nextInt: firstZero((bound) => random.nextInt(bound)) },
    client: replicas,
    controlOrigins: ORIGINS,
    heartbeatIntervalMs: 1_000,
  });
  follower.start();
  await advance(clock, 1_500, STEP_MS);
  follower.stop();
  return replicas.syncedWith;
}

function firstZero(below: (bound: number) => number): (bound: number) => number {
  let isFirst = true;
  return (bound) => {
    if (!isFirst) return below(bound);
    isFirst = false;
    return 0;
  };
}

describe('followers of a lost replica', () => {
  it('spread over the others', async () => {
    const counts = new Map<string, number>();
    for (let seed = 1; seed <= FOLLOWERS; seed += 1) {
      const origin = await originAfterLoss(seed);
      counts.set(origin, (counts.get(origin) ?? 0) + 1);
    }
    for (const origin of ['second', 'third', 'fourth']) {
      expect(counts.get(origin) ?? 0, origin).to.be.above(FOLLOWERS / 6);
    }
  });
});
