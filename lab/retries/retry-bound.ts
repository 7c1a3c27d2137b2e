/**
 * Upper bound on what any retry policy can complete while the targets of one service reject a random fraction of the
 * calls.
 *
 * A request completes when all its calls to the service have succeeded. After each rejection the policy decides
 * whether to retry; in total, retries may not exceed a ratio of the first attempts plus a constant rate. This is a
 * linear program with one budget constraint. Its dual variable is the price of a retry: for a given price, dynamic
 * programming finds the best policy of each request, and bisection finds the price at which the budget is used up.
 */

/** A kind of request that calls the service. */
export interface BoundKind {
  readonly name: string;
  /** Requests per second. */
  readonly perSecond: number;
  /** Number of calls to the service that have to succeed for the request to complete. */
  readonly calls: number;
  /** Whether the calls are sent concurrently rather than in sequence. */
  readonly together: boolean;
  /** Relative weight of a completed request. */
  readonly worth: number;
}

/** The service and its retry budget. */
export interface BoundService {
  /** Fraction of the calls that targets reject, 0 to 1. */
  readonly reject: number;
  /** Retries allowed for each first attempt, 0 to 1. */
  readonly ratio: number;
  /** Additional retries allowed per second. */
  readonly slackPerSecond: number;
  /** Maximum number of attempts of a call, at least 1. */
  readonly attempts: number;
}

/** Results of the best policy for one kind. */
export interface KindBound {
  readonly name: string;
  /** Fraction of the requests that complete. */
  readonly finished: number;
  /** Mean number of first attempts of calls per request. */
  readonly firsts: number;
  /** Mean number of retries per request. */
  readonly repeats: number;
}

/** Results of the best policy. */
export interface RetryBoundResult {
  /** Weighted fraction of the requests that complete. */
  readonly worth: number;
  readonly kinds: readonly KindBound[];
}

/** Expected values of one request under the best policy for a given price of a retry. */
interface ExpectedOutcome {
  /** Expected worth minus the price of retries, plus the price of those that its first attempts add to the budget. */
  readonly value: number;
  readonly finished: number;
  readonly firsts: number;
  readonly repeats: number;
}

const ABANDONED: ExpectedOutcome = { value: 0, finished: 0, firsts: 0, repeats: 0 };
/** Narrows the price interval to about 10^-12 of its width. */
const BISECTION_STEPS = 40;

/** Computes the bound. */
export function retryBound(kinds: readonly BoundKind[], service: BoundService): RetryBoundResult {
  const atZeroPrice = kinds.map((kind) => bestOutcome(kind, service, 0));
  if (repeatsOverBudget(kinds, atZeroPrice, service) <= 0) return resultOf(kinds, atZeroPrice);
  let low = 0;
  let high = Math.max(...kinds.map((kind) => kind.worth));
  for (let halving = 0; halving < BISECTION_STEPS; halving += 1) {
    const price = (low + high) / 2;
    const prospects = kinds.map((kind) => bestOutcome(kind, service, price));
    if (repeatsOverBudget(kinds, prospects, service) > 0) low = price;
    else high = price;
  }
  const atLowPrice = kinds.map((kind) => bestOutcome(kind, service, low));
  const atHighPrice = kinds.map((kind) => bestOutcome(kind, service, high));
  const excess = repeatsOverBudget(kinds, atLowPrice, service);
  const unused = -repeatsOverBudget(kinds, atHighPrice, service);
  const lowPriceFraction = unused / (excess + unused);
  return resultOf(
    kinds,
    atLowPrice.map((each, index) => mix(each, lowPriceFraction, atHighPrice[index]!)),
  );
}

/** Returns by how many retries per second the budget is exceeded; negative when part of it is unused. */
function repeatsOverBudget(
  kinds: readonly BoundKind[],
  prospects: readonly ExpectedOutcome[],
  { ratio, slackPerSecond }: BoundService,
): number {
  const perRequest = prospects.map(({ repeats, firsts }) => repeats - ratio * firsts);
  return sum(kinds.map((kind, index) => kind.perSecond * perRequest[index]!)) - slackPerSecond;
}

function resultOf(
  kinds: readonly BoundKind[],
  prospects: readonly ExpectedOutcome[],
): RetryBoundResult {
  const worths = kinds.map((kind) => kind.perSecond * kind.worth);
  const earned = kinds.map((_, index) => worths[index]! * prospects[index]!.finished);
  return {
    worth: sum(earned) / sum(worths),
    kinds: kinds.map(({ name }, index) => {
      const { finished, firsts, repeats } = prospects[index]!;
      return { name, finished, firsts, repeats };
    }),
  };
}

function bestOutcome(kind: BoundKind, service: BoundService, price: number): ExpectedOutcome {
  const finished = { ...ABANDONED, value: kind.worth, finished: 1 };
  return kind.together
    ? callsTogether(kind.calls, finished, service, price)
    : callsInSequence(kind.calls, finished, service, price);
}

function callsInSequence(
  calls: number,
  finished: ExpectedOutcome,
  service: BoundService,
  price: number,
): ExpectedOutcome {
  let next = finished;
  for (let call = 0; call < calls; call += 1) {
    next = firstArrivals(1, attempt(next, 1, service, price), service, price);
  }
  return next;
}

/** All calls are sent once, then the rejected ones are retried one by one while the expected value is positive. */
function callsTogether(
  calls: number,
  finished: ExpectedOutcome,
  service: BoundService,
  price: number,
): ExpectedOutcome {
  const { reject, attempts } = service;
  const rejected = [finished];
  for (let count = 1; count <= calls; count += 1) {
    rejected.push(
      attempts > 1 ? orAbandon(repeat(rejected[count - 1]!, 2, service, price)) : ABANDONED,
    );
  }
  let total = ABANDONED;
  for (let count = 0; count <= calls; count += 1) {
    total = add(total, scale(rejected[count]!, binomial(calls, count, reject)));
  }
  return firstArrivals(calls, total, service, price);
}

/** Expected outcome of attempt `number`: it succeeds, or is rejected and retried if the expected value is positive. */
function attempt(
  afterSuccess: ExpectedOutcome,
  number: number,
  service: BoundService,
  price: number,
): ExpectedOutcome {
  const { reject, attempts } = service;
  const afterRejection =
    number < attempts ? orAbandon(repeat(afterSuccess, number + 1, service, price)) : ABANDONED;
  return add(scale(afterSuccess, 1 - reject), scale(afterRejection, reject));
}

function repeat(
  afterSuccess: ExpectedOutcome,
  number: number,
  service: BoundService,
  price: number,
): ExpectedOutcome {
  const after = attempt(afterSuccess, number, service, price);
  return { ...after, value: after.value - price, repeats: after.repeats + 1 };
}

function firstArrivals(
  count: number,
  after: ExpectedOutcome,
  { ratio }: BoundService,
  price: number,
): ExpectedOutcome {
  const credit = count * price * ratio;
  return { ...after, value: after.value + credit, firsts: after.firsts + count };
}

function orAbandon(prospect: ExpectedOutcome): ExpectedOutcome {
  return prospect.value > ABANDONED.value ? prospect : ABANDONED;
}

function mix(first: ExpectedOutcome, firstPart: number, second: ExpectedOutcome): ExpectedOutcome {
  return add(scale(first, firstPart), scale(second, 1 - firstPart));
}

function add(first: ExpectedOutcome, second: ExpectedOutcome): ExpectedOutcome {
  return {
    value: first.value + second.value,
    finished: first.finished + second.finished,
    firsts: first.firsts + second.firsts,
    repeats: first.repeats + second.repeats,
  };
}

function scale(prospect: ExpectedOutcome, factor: number): ExpectedOutcome {
  return {
    value: prospect.value * factor,
    finished: prospect.finished * factor,
    firsts: prospect.firsts * factor,
    repeats: prospect.repeats * factor,
  };
}

/** Probability of `count` hits in `draws` independent draws with hit probability `hit`. */
function binomial(draws: number, count: number, hit: number): number {
  let probability = hit ** count * (1 - hit) ** (draws - count);
  for (let each = 0; each < count; each += 1) probability *= (draws - each) / (each + 1);
  return probability;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, each) => total + each, 0);
}
