/** Guards against a stalled sync that is not sent again, and against aborting one that waits for changes. Virtual time. */
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
  type ExchangeProgress,
} from '../../src/http/control-client.js';
import type { Follower } from '../../src/follower/follower.js';
import { advance, createTestFollower } from '../support/test-follower.js';

const HEARTBEAT_INTERVAL_MS = 1_000;
/** Maximum time from the confirmation of a change until it is applied. */
const IN_FORCE_MS = 2_000;
const STEP_MS = 25;
/** Shorter than the time that a replica may hold a sync. */
const QUIET_MS = 9_000;

function failed(failure: ExchangeFailure): Exchange<never> {
  return { type: 'failed', failure, detail: failure };
}

/** Link to one replica that responds to the first sync, and to later ones only when `answerSync` is called. */
class OneReplica implements ControlTransport {
  revision = 1;
  endpoints = { source: 'first-start', version: 1 };
  answersHeartbeats = true;
  /** Times at which syncs were sent, in milliseconds of virtual time. */
  readonly syncTimes: number[] = [];
  private heldProgress: ExchangeProgress | undefined;
  private answerHeld: ((exchange: Exchange<unknown>) => void) | undefined;

  constructor(private readonly clock: VirtualClock) {}

  send<Answer>(
    _origin: string,
    path: string,
    _message: unknown,
    { timeoutMs, abort, progress }: ExchangeOptions,
  ): Promise<Exchange<Answer>> {
    const timedOut = new Promise<Exchange<Answer>>((resolve) => {
      this.clock.schedule(timeoutMs, () => resolve(failed(ExchangeFailure.TimedOut)));
    });
    if (path === HEARTBEAT_PATH) {
      return this.answersHeartbeats ? Promise.resolve(this.heartbeatReply()) : timedOut;
    }
    this.syncTimes.push(this.clock.now());
    this.heldProgress = progress;
    const answer = new Promise<Exchange<Answer>>((resolve) => {
      abort?.addEventListener('abort', () => resolve(failed(ExchangeFailure.Aborted)));
      this.answerHeld = resolve as (exchange: Exchange<unknown>) => void;
    });
    if (this.syncTimes.length === 1) this.answerSync();
    return Promise.race([answer, timedOut]);
  }

  /** Responds to the held sync. */
  answerSync(): void {
    const { revision, endpoints } = this;
    const answer: SyncResponse = {
      revision,
      resources: [],
      changes: [],
      endpointSource: endpoints.source,
      endpointVersion: endpoints.version,
      endpoints: [],
      endpointChanges: [],
    };
    this.answerHeld?.({ type: 'answered', answer: packSync(answer) });
  }

  /** Responds to the held sync with a message of an incompatible version. */
  answerUnreadably(): void {
    this.answerHeld?.({ type: 'answered', answer: { revision: 2, changes: [] } });
  }

  /** Simulates a response whose bytes keep arriving for `durationMs`, without completing it. */
  answerSlowly(durationMs: number): void {
    if (durationMs <= 0 || this.heldProgress === undefined) return;
    this.heldProgress.receivedBytes += 1;
    this.clock.schedule(STEP_MS, () => this.answerSlowly(durationMs - STEP_MS));
  }

  private heartbeatReply<Answer>(): Exchange<Answer> {
    const { revision, endpoints } = this;
    const answer: HeartbeatReply = { type: 'ok', revision, isCurrent: true, endpoints };
    return { type: 'answered', answer: answer as Answer };
  }
}

/** A change of the replica while a sync is held, and whether the sync must be sent again. */
interface Case {
  readonly name: string;
  readonly happen: (replica: OneReplica, clock: VirtualClock) => void;
  readonly isSentAgain: boolean;
}

const CASES: Case[] = [
  {
    name: 'the replica tells of a newer revision and the sync stays silent',
    happen: (replica) => (replica.revision = 2),
    isSentAgain: true,
  },
  {
    name: 'the replica tells of newer endpoints and the sync stays silent',
    happen: (replica) => (replica.endpoints = { source: 'first-start', version: 2 }),
    isSentAgain: true,
  },
  {
    name: 'the replica was restarted between two heartbeats',
    happen: (replica) => (replica.endpoints = { source: 'second-start', version: 0 }),
    isSentAgain: true,
  },
  {
    name: 'the replica was gone for less than a heartbeat, and has nothing new',
    happen: (replica, clock) => {
      replica.answersHeartbeats = false;
      clock.schedule(HEARTBEAT_INTERVAL_MS, () => (replica.answersHeartbeats = true));
    },
    isSentAgain: true,
  },
  {
    name: 'the news come by the sync, a little later than by the heartbeat',
    happen: (replica, clock) => {
      replica.revision = 2;
      clock.schedule(HEARTBEAT_INTERVAL_MS + 100, () => replica.answerSync());
    },
    isSentAgain: false,
  },
  {
    name: 'a large answer is arriving',
    happen: (replica, clock) => {
      replica.revision = 2;
      replica.answerSlowly(3_000);
      clock.schedule(3_000, () => replica.answerSync());
    },
    isSentAgain: false,
  },
  { name: 'there are no news', happen: () => undefined, isSentAgain: false },
];

function createFollower(clock: VirtualClock, client: ControlTransport): Follower {
  return createTestFollower({
    clock,
    client,
    controlOrigins: ['only'],
    heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
  });
}

describe('an answer to a sync that can not be read', () => {
  it('makes the follower ask again, and ends nothing', async () => {
    const clock = new VirtualClock();
    const replica = new OneReplica(clock);
    const follower = createFollower(clock, replica);
    follower.start();
    await advance(clock, HEARTBEAT_INTERVAL_MS + 2 * STEP_MS, STEP_MS);
    replica.answerUnreadably();
    await advance(clock, HEARTBEAT_INTERVAL_MS, STEP_MS);
    expect(replica.syncTimes).to.have.length(3);
    replica.revision = 2;
    replica.answerSync();
    await advance(clock, HEARTBEAT_INTERVAL_MS, STEP_MS);
    expect(follower.view.appliedRevision).to.equal(2);
    follower.stop();
  });
});

describe('a held sync', () => {
  for (const { name, happen, isSentAgain } of CASES) {
    it(`is ${isSentAgain ? 'sent again' : 'left alone'} when ${name}`, async () => {
      const clock = new VirtualClock();
      const replica = new OneReplica(clock);
      const follower = createFollower(clock, replica);
      follower.start();
      await advance(clock, HEARTBEAT_INTERVAL_MS + 2 * STEP_MS, STEP_MS);
      expect(replica.syncTimes).to.have.length(2);
      const [, heldSince] = replica.syncTimes;
      const happenedAt = clock.now();
      happen(replica, clock);
      await advance(clock, isSentAgain ? IN_FORCE_MS : QUIET_MS, STEP_MS);
      follower.stop();
      const later = replica.syncTimes.filter((time) => time > heldSince!);
      if (isSentAgain) expect(later[0]! - happenedAt).to.be.below(IN_FORCE_MS);
      else expect(later.length).to.be.at.most(1);
    });
  }
});
