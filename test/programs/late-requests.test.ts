import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { SeededRandom } from '../../src/common/random.js';
import { CallingTargets } from '../support/calling-targets.js';

const GRACE_MS = 2_000;
const INTERVAL_MS = 15;
const DEADLINE_MS = 5_000;
const SEED = 7;
const REFUSED = 503;

interface Sent {
  readonly id: string;
  readonly sentAt: number;
  status: number;
  hasRetryAfter: boolean;
  /** Whether a connection was there that took the request. */
  wasRefusedToConnect: boolean;
}

/**
 * Guards against requests that come late in the grace of a planned stop: they were taken, passed on, and cut without an answer
 * at its end. Durations are unknown before the stop and rise during it, up to more than the whole grace.
 */
describe('requests at every moment of a planned stop', function () {
  this.timeout(30_000);
  let targets: CallingTargets;
  let kept: Agent;

  before(async () => {
    targets = await CallingTargets.start(GRACE_MS);
    kept = new Agent({ connections: 32 });
  });

  after(async () => {
    await kept.destroy();
    await targets.end();
  });

  async function send(route: string, id: string, isNew: boolean, startedAt: number): Promise<Sent> {
    const sentAt = performance.now() - startedAt;
    const sent = { id, sentAt, status: 0, hasRetryAfter: false, wasRefusedToConnect: false };
    try {
      const { statusCode, headers, body } = await request(
        `${targets.front.origins.outbound}/${route}/1`,
        {
          dispatcher: kept,
          reset: isNew,
          method: route === 'place' ? 'POST' : 'GET',
          headers: {
            host: 'shop.example',
            'x-request-id': id,
            'x-request-timeout-ms': String(DEADLINE_MS),
          },
          body: route === 'place' ? 'order' : null,
        },
      );
      await body.dump();
      return { ...sent, status: statusCode, hasRetryAfter: headers['retry-after'] !== undefined };
    } catch (error) {
      // The process has ended, or the connection ended under the request.
      return { ...sent, wasRefusedToConnect: (error as { code?: string }).code === 'ECONNREFUSED' };
    }
  }

  it('end with an answer of the target, or refused with a time before they reach it', async () => {
    const random = new SeededRandom(SEED);
    targets.callsPerRun = 1;
    targets.backWork = () => sleep(100 + random.next() * 1.2 * GRACE_MS);
    const startedAt = performance.now();
    const stopped = targets.front.stop();
    const all: Promise<Sent>[] = [];
    for (let each = 0; performance.now() - startedAt < GRACE_MS; each += 1) {
      const route = random.next() < 0.5 ? 'front' : 'place';
      all.push(send(route, `late-${each}`, random.next() < 0.3, startedAt));
      await sleep(INTERVAL_MS);
    }
    await stopped;
    const sent = await Promise.all(all);
    const passedOn = sent.filter(({ id }) => targets.arrivedAtFront.has(id));
    expect(passedOn.filter(({ status }) => status === 0 || status === REFUSED)).to.deep.equal([]);
    const turnedAway = sent.filter(({ id }) => !targets.arrivedAtFront.has(id));
    const unanswered = turnedAway.filter(
      ({ status, hasRetryAfter, wasRefusedToConnect, sentAt }) =>
        !(status === REFUSED && hasRetryAfter) && !wasRefusedToConnect && sentAt < 0.9 * GRACE_MS,
    );
    expect(unanswered).to.deep.equal([]);
    expect(passedOn.length).to.be.above(10);
    expect(turnedAway.length).to.be.above(10);
  });
});
