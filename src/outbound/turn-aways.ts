/**
 * Tracks the gates that turn a call away for a better target (gate/long-run-check.ts), and decides whether they may. A call is
 * turned away at most twice, and if no other target runs it, it goes back once to the gate that turned it away last: such a
 * refusal must not reach the client. Pure.
 */
import { MIN_RETRY_TIME_MS } from '../retry/retry-policy.js';

/** Number of gates that may turn a call away. */
const MAX_TURNED_AWAY = 2;

/** Time that a call must have left to be turned away, in milliseconds: enough for another target to be tried. */
const MIN_TURN_AWAY_TIME_MS = 50;

/** The call, as far as turning it away is concerned. */
export interface TurnAwayCall {
  readonly repeatable: boolean;
  /** Whether the request body can be sent again from the start. */
  readonly replayable: boolean;
}

export class TurnAways {
  /** Endpoint that turned the call away last, and would have run it. */
  private latest: string | undefined;
  private hasReturned = false;

  constructor(private readonly call: TurnAwayCall) {}

  /**
   * Whether the gate of the attempt that is being sent may turn the call away.
   * @param attempts number of endpoints that the call was sent to, including this one
   * @param remainingMs time left until the deadline, in milliseconds
   */
  mayBeTurnedAway(attempts: number, remainingMs: number): boolean {
    const { repeatable, replayable } = this.call;
    if (attempts > MAX_TURNED_AWAY || this.hasReturned || repeatable || !replayable) return false;
    return remainingMs >= MIN_TURN_AWAY_TIME_MS;
  }

  /** Records that the gate of an endpoint turned the call away. */
  onTurnedAway(endpointId: string): void {
    this.latest = endpointId;
  }

  /**
   * Returns the endpoint to which a call that would be refused goes back, once; undefined if there is none or too little time.
   * The call must be known not to have run anywhere.
   */
  takeReturn(remainingMs: number): string | undefined {
    if (this.hasReturned || this.latest === undefined || remainingMs < MIN_RETRY_TIME_MS) {
      return undefined;
    }
    this.hasReturned = true;
    return this.latest;
  }
}
