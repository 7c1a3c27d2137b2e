/** A request and its response over the simulated network, with a timeout at the sender. */
import type { Clock } from '../../src/common/clock.js';
import { MachineClock } from './machine-clock.js';
import type { SimMachine, SimNetwork } from './sim-network.js';

/** The sender, the receiver and the timeout of an exchange. */
export interface ExchangeOptions {
  readonly clock: Clock;
  readonly network: SimNetwork;
  readonly from: SimMachine;
  readonly to: SimMachine;
  readonly timeoutMs: number;
}

/**
 * Sends one request and waits for the response.
 * @param handleRequest runs at the receiver and calls its callback at most once
 * @param done called with the response, or with undefined after the timeout or when the receiver's process
 *   has ended; not called when the sender's process has ended in the meantime
 */
export function exchange<Answer>(
  options: ExchangeOptions,
  handleRequest: (answer: (answer: Answer) => void) => void,
  done: (answer: Answer | undefined) => void,
): void {
  const { network, from, to } = options;
  const { incarnation } = from;
  let settled = false;
  const settle = (answer: Answer | undefined): void => {
    if (settled || from.incarnation !== incarnation) return;
    settled = true;
    timeout.cancel();
    done(answer);
  };
  const clock = new MachineClock(options.clock, from);
  const timeout = clock.schedule(options.timeoutMs, () => settle(undefined));
  network.send(
    from,
    to,
    () => handleRequest((answer) => network.send(to, from, () => settle(answer))),
    () => settle(undefined),
  );
}
