/**
 * Limits the repeats at a service over all its callers. Each gate enforces its part of the limit on the arrivals at its
 * target, so the limit holds however many processes call the service, start or stop. The rule is
 * {@link decideAcceptedRepeats}; docs/design/retries.md explains the design.
 *
 * Attempts after one that may have arrived count as repeats, and first arrivals count partly, with the probability that a
 * repeated run made them. The latter can't be refused without losing that run, so they use up the budget first.
 */
import type { Clock } from '../common/clock.js';
import { MOST_URGENT_LEVEL, type ClaimLevel } from '../policy/scarcity-order.js';
import { ArrivalWindow } from './arrival-window.js';
import {
  allowedRepeats,
  decideAcceptedRepeats,
  leavesUrgentRepeats,
  DOWNSTREAM_FULL_FRACTION,
  AcceptedRepeats,
  type GateState,
  type RetryBound,
  type WindowCounts,
} from './accepted-repeats.js';
import { RepeatDemand } from './repeat-demand.js';

export interface ServiceRetryBudgetOptions extends RetryBound {
  readonly clock: Clock;
  /** Number of gates of the service, including this one; they share the slack. */
  readonly gates: () => number;
}

/** Arrivals at a gate in the current window. */
export interface ArrivalCounts extends WindowCounts {
  /** Repeats that the gate's part of the budget allows in the window. */
  readonly allowed: number;
}

/** Who made a call. Part of the budget is reserved for requests of clients. */
export type ArrivalSource = 'clients' | 'targets';

export class ServiceRetryBudget {
  private all: ArrivalWindow;
  private fromClients: ArrivalWindow;
  private demand: RepeatDemand;
  /** Monotonic milliseconds, like the next two. */
  private startedAt: number;
  private downstreamFullUntil = -Infinity;
  private downstreamCallsUntil = -Infinity;

  constructor(private readonly options: ServiceRetryBudgetOptions) {
    this.all = new ArrivalWindow(options.windowMs);
    this.fromClients = new ArrivalWindow(options.windowMs);
    this.demand = new RepeatDemand(options.windowMs);
    this.startedAt = options.clock.now();
  }

  /** Clears all counts, for a target that now belongs to another service. */
  reset(): void {
    const { clock, windowMs } = this.options;
    this.all = new ArrivalWindow(windowMs);
    this.fromClients = new ArrivalWindow(windowMs);
    this.demand = new RepeatDemand(windowMs);
    this.startedAt = clock.now();
  }

  /** Counts a first arrival. @param inheritedShare probability that a repeated run made the call, 0 to 1 */
  onFirstArrival(source: ArrivalSource, inheritedShare: number): void {
    this.count(source, 1 - inheritedShare, inheritedShare);
  }

  /**
   * Counts a repeat that is about to arrive.
   * @param level place of the call in the order of scarce things
   * @returns false, without counting it, if the budget does not allow it, or keeps the rest for more urgent kinds
   */
  tryAcquireRepeat(source: ArrivalSource, level: ClaimLevel = MOST_URGENT_LEVEL): boolean {
    const now = this.options.clock.now();
    const moreUrgent = this.demand.moreUrgent(level, now);
    this.demand.onAsked(level, now);
    const state = this.state();
    const isFromClient = source === 'clients';
    const accepted = decideAcceptedRepeats(isFromClient, state, this.options);
    if (accepted === AcceptedRepeats.None) return false;
    if (!leavesUrgentRepeats(isFromClient, moreUrgent, state, this.options)) return false;
    this.demand.onGranted(level, 1, now);
    this.count(source, 0, 1);
    return true;
  }

  /** Removes a repeat that was counted but did not arrive. Takes the arguments of {@link tryAcquireRepeat}. */
  releaseRepeat(source: ArrivalSource, level: ClaimLevel = MOST_URGENT_LEVEL): void {
    this.demand.onGranted(level, -1, this.options.clock.now());
    this.count(source, 0, -1);
  }

  /** Which repeats would be granted now if they were the most urgent ones: callers apply the answer to all kinds. */
  getAcceptedRepeats(source: ArrivalSource): AcceptedRepeats {
    return decideAcceptedRepeats(source === 'clients', this.state(), this.options);
  }

  /** The target called another service, which reported the repeats that it accepts. */
  onDownstreamCall(acceptedRepeats: AcceptedRepeats): void {
    const { clock, windowMs } = this.options;
    const now = clock.now();
    this.downstreamCallsUntil = now + windowMs;
    if (acceptedRepeats !== AcceptedRepeats.Runs)
      this.downstreamFullUntil = now + DOWNSTREAM_FULL_FRACTION * windowMs;
  }

  /** First arrivals and repeats in the current window, for logs and metrics. */
  counts(): ArrivalCounts {
    const state = this.state();
    return { ...state.all, allowed: allowedRepeats(state, this.options) };
  }

  private count(source: ArrivalSource, firsts: number, repeats: number): void {
    const now = this.options.clock.now();
    this.all.add(now, firsts, repeats);
    if (source === 'clients') this.fromClients.add(now, firsts, repeats);
  }

  private state(): GateState {
    const now = this.options.clock.now();
    return {
      all: this.all.counts(now),
      fromClients: this.fromClients.counts(now),
      trackedMs: now - this.startedAt,
      gates: this.options.gates(),
      hasDownstreamCalls: now < this.downstreamCallsUntil,
      isDownstreamFull: now < this.downstreamFullUntil,
    };
  }
}
