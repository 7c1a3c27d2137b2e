/**
 * Bounds the repeats at a service, over all its callers. Each gate keeps its own part of the budget: it alone
 * sees all that arrives at its target, so the parts of a service's gates add up to the bound of the service
 * however many processes call it, start or stop. A repeat that the gate refuses has not reached a target.
 *
 * Counted as repeats are attempts after one that may have arrived, and first arrivals in so far as the run that
 * made them was itself a repeat. The latter can't be refused without losing that run, so they are taken from
 * the budget first; and a gate whose target calls a service that has nothing left grants no repeats either,
 * since each of them would cause more there. docs/design/retries.md compares this with shares of callers.
 *
 * Owns what arrived at one gate in the window. The rule is {@link decideAcceptedRepeats}. Relies on callers that tell a repeat
 * from a first arrival, and on the number of the service's gates.
 */
import type { Clock } from '../common/clock.js';
import { ArrivalWindow } from './arrival-window.js';
import {
  allowedRepeats,
  decideAcceptedRepeats,
  DOWNSTREAM_FULL_FRACTION,
  RepeatRoom,
  type GateState,
  type RetryBound,
  type WindowCounts,
} from './repeat-room.js';

/** What the budget of one gate is made of. */
export interface ServiceRetryBudgetOptions extends RetryBound {
  readonly clock: Clock;
  /** Gates of the service, this one included; they share the slack. */
  readonly gates: () => number;
}

/** What a gate has seen in the window that ends now. */
export interface ArrivalCounts extends WindowCounts {
  /** Repeats that the gate's part of the budget allows for such a window. */
  readonly allowed: number;
}

/** Who made a call: calls of targets end with nothing if one of several fails, requests of clients stand alone. */
export type ArrivalSource = 'clients' | 'targets';

export class ServiceRetryBudget {
  private all: ArrivalWindow;
  private fromClients: ArrivalWindow;
  /** Monotonic milliseconds, as the two below. */
  private startedAt: number;
  private downstreamFullUntil = -Infinity;
  private downstreamCallsUntil = -Infinity;

  constructor(private readonly options: ServiceRetryBudgetOptions) {
    this.all = new ArrivalWindow(options.windowMs);
    this.fromClients = new ArrivalWindow(options.windowMs);
    this.startedAt = options.clock.now();
  }

  /** Forgets all arrivals: the target is of another service now. */
  reset(): void {
    const { clock, windowMs } = this.options;
    this.all = new ArrivalWindow(windowMs);
    this.fromClients = new ArrivalWindow(windowMs);
    this.startedAt = clock.now();
  }

  /** A call arrives for the first time. @param inheritedShare how likely a repeated run has made it, 0 to 1 */
  onFirstArrival(source: ArrivalSource, inheritedShare: number): void {
    this.count(source, 1 - inheritedShare, inheritedShare);
  }

  /** Counts a repeat that is about to arrive; false, and not counted, if nothing is left for it. */
  tryRepeat(source: ArrivalSource): boolean {
    if (this.room(source) === RepeatRoom.None) return false;
    this.count(source, 0, 1);
    return true;
  }

  /** A repeat that was counted has not arrived after all. */
  giveBack(source: ArrivalSource): void {
    this.count(source, 0, -1);
  }

  /** What repeats would be granted now. */
  room(source: ArrivalSource): RepeatRoom {
    return decideAcceptedRepeats(source === 'clients', this.state(), this.options);
  }

  /** The target has called another service, which has answered with the room that it has. */
  onDownstreamCall(acceptedRepeats: RepeatRoom): void {
    const { clock, windowMs } = this.options;
    const now = clock.now();
    this.downstreamCallsUntil = now + windowMs;
    if (acceptedRepeats !== RepeatRoom.Runs)
      this.downstreamFullUntil = now + DOWNSTREAM_FULL_FRACTION * windowMs;
  }

  /** First arrivals and repeats in the present window, for logs and metrics. */
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
