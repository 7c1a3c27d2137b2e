/** Pins the exact log lines of a process that follows control, in virtual time. */
import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { HeartbeatReply } from '../../src/sync/heartbeat.js';
import type { ControlTransport, Exchange, ExchangeOptions } from '../../src/http/control-client.js';
import { ExchangeFailure } from '../../src/http/control-client.js';
import { Follower } from '../../src/follower/follower.js';
import { CapturedLines } from '../support/captured-lines.js';
import { packSync } from '../support/pack-sync.js';
import { advance } from '../support/test-follower.js';

const INFO = 30;
const STEP_MS = 25;

/** Two replicas, of which the first stops answering heartbeats. */
class TwoReplicas implements ControlTransport {
  isFirstSilent = false;
  private syncs = 0;

  constructor(private readonly clock: VirtualClock) {}

  async send<Answer>(
    origin: string,
    path: string,
    _message: unknown,
    { timeoutMs, abort }: ExchangeOptions,
  ): Promise<Exchange<Answer>> {
    const isHeartbeat = path === '/internal/heartbeat';
    if (isHeartbeat && !(this.isFirstSilent && origin === 'first')) {
      const reply: HeartbeatReply = { type: 'ok', revision: 3, isCurrent: true };
      return { type: 'answered', answer: reply as Answer };
    }
    this.syncs += isHeartbeat ? 0 : 1;
    if (!isHeartbeat && this.syncs === 1) return { type: 'answered', answer: news() as Answer };
    return new Promise((resolve) => {
      const fail = (failure: ExchangeFailure): void =>
        resolve({ type: 'failed', failure, detail: 'no answer' });
      this.clock.schedule(timeoutMs, () => fail(ExchangeFailure.TimedOut));
      abort?.addEventListener('abort', () => fail(ExchangeFailure.Aborted));
    });
  }
}

function news(): unknown {
  return packSync({
    revision: 3,
    resources: [],
    changes: [],
    endpointSource: 'first@1',
    endpointVersion: 1,
    endpoints: [],
    endpointChanges: [],
  });
}

describe('the log lines of a follower', () => {
  it('tell of a configuration in force, and of another replica that is followed', async () => {
    const captured = new CapturedLines('node', 'pinned-follower');
    const clock = new VirtualClock();
    const client = new TwoReplicas(clock);
    const follower = new Follower({
      clock,
      random: { next: () => 0, nextInt: () => 0 },
      client,
      controlOrigins: ['first', 'second'],
      heartbeatIntervalMs: 1_000,
      logger: captured.logger.part('follower'),
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
    try {
      follower.start();
      await advance(clock, 500, STEP_MS);
      client.isFirstSilent = true;
      await advance(clock, 2_000, STEP_MS);
    } finally {
      follower.stop();
      captured.end();
    }
    expect(captured.of('follower: Applied a new configuration.')).to.deep.equal([
      {
        level: INFO,
        msg: 'follower: Applied a new configuration.',
        revision: 3,
        origin: 'first',
      },
    ]);
    expect(captured.of('follower: Switched to another control replica.')).to.deep.equal([
      {
        level: INFO,
        msg: 'follower: Switched to another control replica.',
        left: 'first',
        cause: 'no reply or no leader',
        origin: 'second',
      },
    ]);
  });
});
