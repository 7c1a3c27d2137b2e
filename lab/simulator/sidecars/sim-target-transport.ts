/** Delivers one call to a simulated target, which may reject it or lose its answer. */
import type { Attempt, AttemptListener, TargetTransport } from '../../../src/call/transport.js';
import type { Clock } from '../../../src/common/clock.js';
import type { RandomSource } from '../../../src/common/random.js';
import type { Cancellable } from '../../model/cancellable.js';

/** Faults injected at the targets of a service. */
export interface TargetFaults {
  /** Fraction of calls rejected without running, regardless of free slots, 0 to 1. */
  readonly rejectedPart: number;
  /** Fraction of answers lost after the call has run, 0 to 1. */
  readonly lostPart: number;
  /** Fraction of the targets, in order of their index, that reject calls and lose answers, 0 to 1. Default 1. */
  readonly faultyPart?: number;
  /** Fraction of the targets, in order of their index, that are slow, 0 to 1. Default 0. */
  readonly slowPart?: number;
  /** Multiple of the normal work time at slow targets. Default 1. */
  readonly slowFactor?: number;
}

export const NO_TARGET_FAULTS: TargetFaults = { rejectedPart: 0, lostPart: 0 };

export interface SimTargetOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly faults: () => TargetFaults;
}

/** Delay of a rejection by the local target. */
const LOCAL_DELAY_MS = 0.1;
const STATUS_REJECTED = 503;

export class SimTargetTransport implements TargetTransport {
  onRelayed: (status: number) => void = () => undefined;

  /**
   * @param startWork starts the call at the target; `done` receives its status
   * @param onRejected called when the target rejects the call
   */
  constructor(
    private readonly options: SimTargetOptions,
    private readonly startWork: (done: (status: number) => void) => Cancellable,
    private readonly onRejected: () => void,
  ) {}

  send(listener: AttemptListener): Attempt {
    if (this.drawFault(this.options.faults().rejectedPart)) return this.reject(listener);
    const work = this.startWork((status) => {
      if (this.drawFault(this.options.faults().lostPart)) {
        listener.onFailure({ reason: 'reset', written: true });
        return;
      }
      if (listener.onHead({ status, outcome: undefined }) === 'discard') return;
      listener.onEnd();
      this.onRelayed(status);
    });
    return { written: true, cancel: () => work.cancel() };
  }

  /** Draws no random value if the fault is disabled, so that runs without faults keep their random sequence. */
  private drawFault(part: number): boolean {
    return part > 0 && this.options.random.next() < part;
  }

  private reject(listener: AttemptListener): Attempt {
    this.onRejected();
    const timer = this.options.clock.schedule(LOCAL_DELAY_MS, () =>
      listener.onHead({ status: STATUS_REJECTED, fault: 'not-executed', outcome: undefined }),
    );
    return { written: true, cancel: () => timer.cancel() };
  }
}
