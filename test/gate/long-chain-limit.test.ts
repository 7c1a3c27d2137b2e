/**
 * The limit by kind for requests whose chain of calls takes most of their objective, at a gate that
 * gets a few of them a second. Guards against a bound that is shorter than any run, and a limit
 * that follows a few random answers: either admits too many requests, most of which are late.
 */
import { expect } from 'chai';
import { KindLimiter } from '../../src/admission/kind-limiter.js';
import { sampleExponential, SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { CallContext } from '../../src/call/call-context.js';
import { maxTimeInTargetMs } from '../../src/gate/kind-limit-thresholds.js';
import { LOWEST_IMPORTANCE } from '../../src/policy/importance.js';

const KIND = 'search';
const OBJECTIVE_MS = 2_500;
const USUAL_MS = 2_050;
const MEAN_GAP_MS = 200;
const ANSWERS = 200;
/** Answers until the limit has settled from its initial value. */
const SETTLING_ANSWERS = 30;
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
        clock.advance(sampleExponential(random, MEAN_GAP_MS));
        limiter.onAnswer(KIND, {
          maxDurationMs: USUAL_MS,
          succeeded: true,
          durationMs: USUAL_MS,
          isCongested: true,
        });
        if (answer >= SETTLING_ANSWERS) limits.push(limiter.limitOf(KIND));
      }
      const expected = USUAL_MS / MEAN_GAP_MS;
      expect(Math.min(...limits)).to.be.above(expected / 2);
      expect(Math.max(...limits)).to.be.below(expected * 2);
    });
  }
});
