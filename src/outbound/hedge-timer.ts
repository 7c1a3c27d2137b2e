/**
 * Waits until the answer of an attempt is so late that the call is hedged. Owns the timer of one call; the rule for the
 * delay is {@link decideHedgeDelay}. Relies on the balancer's latencies of the traffic class.
 */
import type { Timer } from '../common/clock.js';
import type { OutboundTransport } from '../call/transport.js';
import { decideHedgeDelay } from '../retry/retry-policy.js';
import type { OutboundRequest, OutboundDependencies } from './outbound-request.js';

export class HedgeTimer {
  private timer: Timer | undefined;

  /** @param onDue the answer is late */
  constructor(
    private readonly request: OutboundRequest,
    private readonly dependencies: OutboundDependencies,
    private readonly transport: OutboundTransport,
    private readonly onDue: () => void,
  ) {}

  /** Watches the attempt about to be sent in place of the one before, if it may be hedged. */
  restart(): void {
    this.cancel();
    const { hedgeDelayFactor, repeatable, allowance, trafficClass, deadlineAt } = this.request;
    const { balancer, clock } = this.dependencies;
    const delayMs = decideHedgeDelay({
      delayFactor: hedgeDelayFactor,
      repeatable,
      replayable: this.transport.replayable,
      retriesLeft: allowance.available,
      usualLatencyMs: balancer.usualLatencyMs(trafficClass),
      remainingMs: deadlineAt - clock.now(),
    });
    if (delayMs !== undefined) this.timer = clock.schedule(delayMs, this.onDue);
  }

  cancel(): void {
    this.timer?.cancel();
  }
}
