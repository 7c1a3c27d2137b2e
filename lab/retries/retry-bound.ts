/**
 * The most that any policy of retries could finish while the targets of one service turn a part of the calls
 * away at random: what rounds on retries are measured against.
 *
 * Requests of several kinds need the service, each by a number of calls that all have to succeed. A policy
 * decides after each rejection whether to send the call again, knowing all about its request; over all requests
 * the repeats may not exceed a ratio of the first arrivals and a slack. That is a linear programme over
 * policies. Its dual has one variable, the price of a repeat, and for a given price each request is decided
 * alone by dynamic programming; the price at which the budget is just used gives the bound.
 */

/** A kind of request that needs the service. */
export interface BoundKind {
  readonly name: string;
  /** Requests a second. */
  readonly perSecond: number;
  /** Calls to the service that a request needs, all of which have to succeed. */
  readonly calls: number;
  /** Whether they are made at the same time, and not each after the one before has succeeded. */
  readonly together: boolean;
  /** What a finished request is worth, relative to the others. */
  readonly worth: number;
}

/** The service and its budget. */
export interface BoundService {
  /** Part of the arrivals that targets turn away, 0 to 1. */
  readonly reject: number;
  /** Repeats allowed for each first arrival, 0 to 1. */
  readonly ratio: number;
  /** Repeats allowed besides, a second. */
  readonly slackPerSecond: number;
  /** Times that one call may arrive at most, at least 1. */
  readonly attempts: number;
}

/** What the best policy does with one kind. */
export interface KindBound {
  readonly name: string;
  /** Part of the requests that are finished. */
  readonly finished: number;
  /** First arrivals and repeats for each request. */
  readonly firsts: number;
  readonly repeats: number;
}

/** The best that any policy can do. */
export interface RetryBoundResult {
  /** Part of the worth of all requests that is finished. */
  readonly worth: number;
  readonly kinds: readonly KindBound[];
}

/** What one request comes to on average under the best policy for a price. */
interface ExpectedOutcome {
  /** Worth, less the price of repeats beyond what first arrivals allow. */
  readonly value: number;
  readonly finished: number;
  readonly firsts: number;
  readonly repeats: number;
}

const ABANDONED: ExpectedOutcome = { value: 0, finished: 0, firsts: 0, repeats: 0 };
/** Halvings of the interval of prices: to one part in 10^12. */
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
  const over = repeatsOverBudget(kinds, atLowPrice, service);
  const under = -repeatsOverBudget(kinds, atHighPrice, service);
  const lowPriceFraction = under / (over + under);
  return resultOf(
    kinds,
    atLowPrice.map((each, index) => mix(each, lowPriceFraction, atHighPrice[index]!)),
  );
}

/** Repeats a second beyond what is allowed. */
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

/** All calls arrive once; then those that were turned away are sent again one by one, as long as it pays. */
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

/** An attempt that has been sent: succeeds, or is turned away and sent again if that pays. */
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

/** Probability of `count` hits among `draws`. */
function binomial(draws: number, count: number, hit: number): number {
  let probability = hit ** count * (1 - hit) ** (draws - count);
  for (let each = 0; each < count; each += 1) probability *= (draws - each) / (each + 1);
  return probability;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, each) => total + each, 0);
}
