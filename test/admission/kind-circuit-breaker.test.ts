import { expect } from 'chai';
import { KindCircuitBreaker, RunResult } from '../../src/admission/kind-circuit-breaker.js';

const KIND = 'lookup';
const USUAL_MS = 140;
const DEADLINE_MS = 700;

/** Starts and ends `count` calls. */
function runCalls(
  outcomes: KindCircuitBreaker,
  count: number,
  result: RunResult,
  ranMs: number,
): void {
  for (let call = 0; call < count; call += 1) {
    outcomes.onStart(KIND);
    outcomes.onEnd(KIND, result, ranMs);
  }
}

/** A target with answered calls and one call in flight. */
function healthyTarget(): KindCircuitBreaker {
  const outcomes = new KindCircuitBreaker();
  runCalls(outcomes, 10, RunResult.Answered, USUAL_MS);
  outcomes.onStart(KIND);
  return outcomes;
}

describe('the outcomes of the latest runs at a target', () => {
  it('let all calls in at first, and while some are answered', () => {
    expect(new KindCircuitBreaker().allowsCall(KIND)).to.equal(true);
    const outcomes = healthyTarget();
    for (let round = 0; round < 20; round += 1) {
      runCalls(outcomes, 3, RunResult.GivenUp, DEADLINE_MS);
      runCalls(outcomes, 1, RunResult.Answered, USUAL_MS);
      expect(outcomes.allowsCall(KIND)).to.equal(true);
    }
  });

  it('let no more than one call in where none is answered any more', () => {
    const outcomes = healthyTarget();
    runCalls(outcomes, 8, RunResult.GivenUp, DEADLINE_MS);
    expect(outcomes.allowsCall(KIND)).to.equal(false);
    expect(outcomes.allowsCall('another')).to.equal(true);
    outcomes.onEnd(KIND, RunResult.GivenUp, DEADLINE_MS);
    expect(outcomes.allowsCall(KIND)).to.equal(true);
  });

  it('let calls in again as soon as one is answered', () => {
    const outcomes = healthyTarget();
    runCalls(outcomes, 50, RunResult.GivenUp, DEADLINE_MS);
    runCalls(outcomes, 1, RunResult.Answered, USUAL_MS);
    expect(outcomes.allowsCall(KIND)).to.equal(true);
  });

  it('count neither calls that are given up before answers come, nor failures of the target', () => {
    const outcomes = healthyTarget();
    runCalls(outcomes, 50, RunResult.GivenUp, USUAL_MS / 2);
    runCalls(outcomes, 50, RunResult.Failed, DEADLINE_MS);
    expect(outcomes.allowsCall(KIND)).to.equal(true);
  });
});
