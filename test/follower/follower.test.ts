import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { HeartbeatReply } from '../../src/sync/heartbeat.js';
import { packSync } from '../support/pack-sync.js';
import { HEARTBEAT_PATH, type SyncResponse } from '../../src/sync/sync-protocol.js';
import {
  ExchangeFailure,
  type ControlTransport,
  type Exchange,
  type ExchangeOptions,
} from '../../src/http/control-client.js';
import { HEARTBEAT_INTERVAL_MS } from '../../src/follower/follower.js';
import { advance, createTestFollower } from '../support/test-follower.js';

const ORIGINS = ['first', 'second'];
const STEP_MS = 50;
const TIMED_OUT: Exchange<never> = {
  type: 'failed',
  failure: ExchangeFailure.TimedOut,
  detail: 'no answer in time',
};
const ABORTED: Exchange<never> = {
  type: 'failed',
  failure: ExchangeFailure.Aborted,
  detail: 'ended by the caller',
};

function answered<Answer>(answer: Answer): Exchange<Answer> {
  return { type: 'answered', answer };
}

/** Link to two replicas, of which the first may stop replying or lose its leader. */
class FakeLink implements ControlTransport {
  firstHeartbeat: HeartbeatReply | undefined;
  readonly syncs: string[] = [];

  constructor(private readonly clock: VirtualClock) {}

  send<Answer>(
    origin: string,
    path: string,
    _message: unknown,
    { timeoutMs, abort }: ExchangeOptions,
  ): Promise<Exchange<Answer>> {
    if (path === HEARTBEAT_PATH) {
      const ok: HeartbeatReply = { type: 'ok', revision: 1, isCurrent: true };
      const reply = origin === 'first' ? this.firstHeartbeat : ok;
      return Promise.resolve(reply === undefined ? TIMED_OUT : answered(reply as Answer));
    }
    this.syncs.push(origin);
    return new Promise((resolve) => {
      abort?.addEventListener('abort', () => resolve(ABORTED));
      this.clock.schedule(timeoutMs, () => resolve(TIMED_OUT));
      if (origin === 'second' && this.syncs.length < 5)
        resolve(answered(packSync(news()) as Answer));
    });
  }
}

function news(): SyncResponse {
  return {
    revision: 1,
    resources: [],
    changes: [],
    endpointSource: 'second',
    endpointVersion: 0,
    endpoints: [],
    endpointChanges: [],
  };
}

const CASES: { name: string; reply: HeartbeatReply | undefined; leaves: boolean }[] = [
  { name: 'is silent', reply: undefined, leaves: true },
  { name: 'has no leader', reply: { type: 'ok', revision: 0, isCurrent: false }, leaves: true },
  { name: 'is well', reply: { type: 'ok', revision: 1, isCurrent: true }, leaves: false },
];

describe('Follower', () => {
  for (const { name, reply, leaves } of CASES) {
    it(`${leaves ? 'leaves' : 'stays with'} a replica that ${name}`, async () => {
      const clock = new VirtualClock();
      const link = new FakeLink(clock);
      link.firstHeartbeat = reply;
      const follower = createTestFollower({ clock, client: link, controlOrigins: ORIGINS });
      follower.start();
      await advance(clock, 2 * HEARTBEAT_INTERVAL_MS, STEP_MS);
      expect(link.syncs.includes('second')).to.equal(leaves);
      follower.stop();
    });
  }
});
