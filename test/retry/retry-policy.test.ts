import { expect } from 'chai';
import {
  decideHedge,
  decideHedgeDelay,
  decideNextStep,
  GiveUpReason,
  MAX_HEDGE_DELAY_FRACTION,
  MAX_REROUTES,
  MIN_HEDGE_DELAY_MS,
  MIN_RETRY_TIME_MS,
  type CallState,
  type FailedAttempt,
  type HedgeDelayState,
  type HedgeState,
  type NextStep,
} from '../../src/retry/retry-policy.js';

/** Expected step: `reroute`, `retry`, or the reason for giving up. */
type Expected = 'reroute' | 'retry' | GiveUpReason;

function stepName(step: NextStep): Expected {
  return step.type === 'give-up' ? step.reason : step.type;
}

describe('the step after a failed attempt', () => {
  const NOT_RUN: FailedAttempt = {
    verdict: 'not-run',
    overloaded: false,
    rejectedByTarget: false,
    isDangerous: false,
    isTargetSpecific: false,
  };
  const MAY_HAVE_RUN: FailedAttempt = { ...NOT_RUN, verdict: 'may-have-run' };
  const RAN: FailedAttempt = { ...NOT_RUN, verdict: 'ran' };
  const REJECTED: FailedAttempt = { ...NOT_RUN, rejectedByTarget: true };
  const OVERLOADED: FailedAttempt = { ...NOT_RUN, overloaded: true };
  const OVERLOADED_TARGET: FailedAttempt = { ...OVERLOADED, rejectedByTarget: true };
  const RETRYABLE_CALL: CallState = {
    repeatable: true,
    replayable: true,
    reroutes: 0,
    maxOverloadReroutes: 1,
    remainingMs: 1_000,
    retriesLeft: 1,
    hasBudget: true,
  };

  const CASES: readonly {
    readonly name: string;
    readonly attempt: FailedAttempt;
    readonly state?: Partial<CallState>;
    readonly expected: Expected;
  }[] = [
    { name: 'not run', attempt: NOT_RUN, expected: 'reroute' },
    {
      name: 'not run, not repeatable, without funds',
      attempt: NOT_RUN,
      state: { repeatable: false, retriesLeft: 0, hasBudget: false },
      expected: 'reroute',
    },
    {
      name: 'not run, last reroute',
      attempt: NOT_RUN,
      state: { reroutes: MAX_REROUTES - 1 },
      expected: 'reroute',
    },
    {
      name: 'not run, reroutes used',
      attempt: NOT_RUN,
      state: { reroutes: MAX_REROUTES },
      expected: GiveUpReason.ReroutesUsed,
    },
    {
      name: 'not run, body gone',
      attempt: NOT_RUN,
      state: { replayable: false },
      expected: GiveUpReason.NotReplayable,
    },
    {
      name: 'not run, just time enough',
      attempt: NOT_RUN,
      state: { remainingMs: MIN_RETRY_TIME_MS },
      expected: 'reroute',
    },
    {
      name: 'not run, too little time',
      attempt: NOT_RUN,
      state: { remainingMs: MIN_RETRY_TIME_MS - 0.1 },
      expected: GiveUpReason.NoTime,
    },
    { name: 'may have run', attempt: MAY_HAVE_RUN, expected: 'retry' },
    { name: 'ran, answer lost', attempt: RAN, expected: 'retry' },
    {
      name: 'may have run, not repeatable',
      attempt: MAY_HAVE_RUN,
      state: { repeatable: false },
      expected: GiveUpReason.NotRepeatable,
    },
    {
      name: 'may have run, body gone',
      attempt: MAY_HAVE_RUN,
      state: { replayable: false },
      expected: GiveUpReason.NotReplayable,
    },
    {
      name: 'may have run, too little time',
      attempt: MAY_HAVE_RUN,
      state: { remainingMs: 0 },
      expected: GiveUpReason.NoTime,
    },
    {
      name: 'may have run, allowance empty',
      attempt: MAY_HAVE_RUN,
      state: { retriesLeft: 0 },
      expected: GiveUpReason.NoAllowance,
    },
    {
      name: 'may have run, budget empty',
      attempt: MAY_HAVE_RUN,
      state: { hasBudget: false },
      expected: GiveUpReason.NoBudget,
    },
    {
      name: 'may have run, reroutes used',
      attempt: MAY_HAVE_RUN,
      state: { reroutes: MAX_REROUTES },
      expected: 'retry',
    },
    {
      name: 'turned away by a target, not repeatable',
      attempt: REJECTED,
      state: { repeatable: false },
      expected: 'retry',
    },
    {
      name: 'turned away by a target, allowance empty',
      attempt: REJECTED,
      state: { retriesLeft: 0 },
      expected: GiveUpReason.NoAllowance,
    },
    { name: 'gate overloaded', attempt: OVERLOADED, expected: 'reroute' },
    {
      name: 'gate overloaded, without funds',
      attempt: OVERLOADED,
      state: { retriesLeft: 0, hasBudget: false },
      expected: 'reroute',
    },
    {
      name: 'gate overloaded, rerouted as often as it may',
      attempt: OVERLOADED,
      state: { reroutes: 1 },
      expected: GiveUpReason.Overload,
    },
    {
      name: 'gate overloaded, no reroute wanted',
      attempt: OVERLOADED,
      state: { maxOverloadReroutes: 0 },
      expected: GiveUpReason.Overload,
    },
    {
      name: 'gate overloaded, body gone',
      attempt: OVERLOADED,
      state: { replayable: false },
      expected: GiveUpReason.NotReplayable,
    },
    {
      name: 'overloaded, may have run',
      attempt: { ...OVERLOADED, verdict: 'may-have-run' },
      expected: GiveUpReason.Overload,
    },
    { name: 'target overloaded', attempt: OVERLOADED_TARGET, expected: 'retry' },
    {
      name: 'target overloaded, allowance empty',
      attempt: OVERLOADED_TARGET,
      state: { retriesLeft: 0 },
      expected: GiveUpReason.NoAllowance,
    },
    {
      name: 'target overloaded, budget empty',
      attempt: OVERLOADED_TARGET,
      state: { hasBudget: false },
      expected: GiveUpReason.NoBudget,
    },
    ...[NOT_RUN, MAY_HAVE_RUN, REJECTED, OVERLOADED].map((attempt) => ({
      name: `dangerous, ${attempt.verdict}`,
      attempt: { ...attempt, isDangerous: true },
      expected: GiveUpReason.Dangerous,
    })),
  ];

  for (const { name, attempt, state, expected } of CASES) {
    it(`${name}: ${expected}`, () => {
      expect(stepName(decideNextStep(attempt, { ...RETRYABLE_CALL, ...state }))).to.equal(expected);
    });
  }
});

describe('the delay of a hedged request', () => {
  const HEDGEABLE: HedgeDelayState = {
    delayFactor: 6,
    repeatable: true,
    replayable: true,
    retriesLeft: 1,
    usualLatencyMs: 20,
    remainingMs: 1_000,
  };
  /** Least time left at which a hedge delay of 120 ms is allowed. */
  const MIN_REMAINING_MS = 120 / MAX_HEDGE_DELAY_FRACTION;

  const CASES: readonly {
    readonly name: string;
    readonly state: Partial<HedgeDelayState>;
    readonly delayMs: number | undefined;
  }[] = [
    { name: 'a multiple of the usual latency', state: {}, delayMs: 120 },
    {
      name: 'at least the shortest one',
      state: { usualLatencyMs: 2 },
      delayMs: MIN_HEDGE_DELAY_MS,
    },
    { name: 'time left', state: { remainingMs: MIN_REMAINING_MS + 0.1 }, delayMs: 120 },
    { name: 'too late', state: { remainingMs: MIN_REMAINING_MS - 0.1 }, delayMs: undefined },
    { name: 'not wanted', state: { delayFactor: undefined }, delayMs: undefined },
    { name: 'latency not known', state: { usualLatencyMs: undefined }, delayMs: undefined },
    { name: 'not repeatable', state: { repeatable: false }, delayMs: undefined },
    { name: 'body gone', state: { replayable: false }, delayMs: undefined },
    { name: 'allowance empty', state: { retriesLeft: 0 }, delayMs: undefined },
  ];

  for (const { name, state, delayMs } of CASES) {
    it(`${name}: ${delayMs === undefined ? 'none' : `${delayMs} ms`}`, () => {
      expect(decideHedgeDelay({ ...HEDGEABLE, ...state })).to.equal(delayMs);
    });
  }
});

describe('the hedged request once its delay has passed', () => {
  const HEDGEABLE_CALL: HedgeState = {
    targetAcceptsRepeats: true,
    retriesLeft: 1,
    hasBudget: true,
  };

  const CASES: readonly {
    readonly state: Partial<HedgeState>;
    readonly expected: string;
  }[] = [
    { state: {}, expected: 'hedge' },
    { state: { targetAcceptsRepeats: false }, expected: 'target-refuses-repeats' },
    { state: { retriesLeft: 0 }, expected: GiveUpReason.NoAllowance },
    { state: { hasBudget: false }, expected: GiveUpReason.NoBudget },
  ];

  for (const { state, expected } of CASES) {
    it(`${JSON.stringify(state)}: ${expected}`, () => {
      const decision = decideHedge({ ...HEDGEABLE_CALL, ...state });
      expect(decision.type === 'wait' ? decision.reason : decision.type).to.equal(expected);
    });
  }
});
