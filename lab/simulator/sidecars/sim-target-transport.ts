/** Hands one call to a simulated target, which may turn it away or lose its answer. */
import type { Attempt, AttemptListener, TargetTransport } from '../../../src/call/transport.js';
import type { Clock } from '../../../src/common/clock.js';
import type { RandomSource } from '../../../src/common/random.js';
import type { Cancellable } from '../../model/cancellable.js';

/** What the targets of a service do wrong. */
export interface TargetFaults {
  /** Part of the calls that they turn away without running them, whatever room they have, 0 to 1. */
  readonly rejectedPart: number;
  /** Part of the answers that are lost after the call has run, 0 to 1. */
  readonly lostPart: number;
  /** Part of the targets, the first of the service, whose work takes a multiple of its usual time, 0 to 1. Default 0. */
  readonly slowPart?: number;
  /** That multiple. Default 1. */
  readonly slowFactor?: number;
}

export const NO_TARGET_FAULTS: TargetFaults = { rejectedPart: 0, lostPart: 0 };

/** What the transports of one machine share. */
export interface SimTargetOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly faults: () => TargetFaults;
}

/** One way to the target on the same machine, in milliseconds. */
const LOCAL_DELAY_MS = 0.1;
const STATUS_REJECTED = 503;

export class SimTargetTransport implements TargetTransport {
  onRelayed: (status: number) => void = () => undefined;

  /**
   * @param startWork the call arrives and the target works on it; `done` hears its status
   * @param onRejected the call arrives and is turned away
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

  /** Draws nothing where nothing is wrong, so that runs without faults don't depend on them. */
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
