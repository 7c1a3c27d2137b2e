/**
 * The limit by kind for requests whose chain of calls takes four fifths of their objective, at a gate that gets a few of them
 * a second.
 *
 * Symptom: in an overload the gates of a large fleet let in too many for some seconds, nearly all of which were late, and then
 * a third of what could have been answered in time. Sequence: answers came 2 s after their requests, five a second; the limit
 * was reckoned from the answers of half a second, for 35% of the objective, and doubled each second once all was calm. Cause:
 * the wanted time was less than any run takes, and the limit followed chance. Requests in time 0.19 with one of the two
 * mended, 0.23 with both, in the simulated overload of 195 sidecars.
 */
import { expect } from 'chai';
import { KindLimiter } from '../../src/admission/kind-limiter.js';
import { exponential, SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { CallContext } from '../../src/call/call-context.js';
import { maxTimeInTargetMs } from '../../src/gate/kind-tolerance.js';
import { LOWEST_IMPORTANCE } from '../../src/policy/importance.js';

const KIND = 'search';
const OBJECTIVE_MS = 2_500;
const USUAL_MS = 2_050;
const MEAN_GAP_MS = 200;
const ANSWERS = 200;
/** Answers until the limit has come down from its start. */
const SETTLING = 30;
const SEEDS = [1, 2, 3];

const CONTEXT: CallContext = {
  requestId: '',
  group: 'clients',
  kind: KIND,
  importance: LOWEST_IMPORTANCE,
  deadlineAt: 6_000,
  retries: 0,
  objectiveMs: OBJECTIVE_MS,
};

describe('the limit of a kind whose runs take most of their objective', () => {
  it('leaves a run its usual time, and less than its objective', () => {
    const maxMs = maxTimeInTargetMs(CONTEXT, USUAL_MS, 0);
    expect(maxMs).to.be.within(USUAL_MS, OBJECTIVE_MS);
  });

  for (const seed of SEEDS) {
    it(`follows the rate of answers, and not the chance of a few (seed ${seed})`, () => {
      const clock = new VirtualClock();
      const random = new SeededRandom(seed);
      const limiter = new KindLimiter(clock);
      const limits: number[] = [];
      limiter.enter(KIND);
      for (let answer = 0; answer < ANSWERS; answer += 1) {
        clock.advance(exponential(random, MEAN_GAP_MS));
        limiter.onAnswer(KIND, {
          maxTargetMs: USUAL_MS,
          succeeded: true,
          heldMs: USUAL_MS,
          isCongested: true,
        });
        if (answer >= SETTLING) limits.push(limiter.limitOf(KIND));
      }
      const expected = USUAL_MS / MEAN_GAP_MS;
      expect(Math.min(...limits)).to.be.above(expected / 2);
      expect(Math.max(...limits)).to.be.below(expected * 2);
    });
  }
});
