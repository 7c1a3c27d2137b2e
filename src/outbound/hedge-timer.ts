/**
 * Timer that fires when an attempt of a call has taken so long that the call should be hedged. The delay comes from
 * {@link decideHedgeDelay} and from the usual latency of the traffic class.
 */
import type { Timer } from '../common/clock.js';
import type { OutboundTransport } from '../call/transport.js';
import { decideHedgeDelay } from '../retry/retry-policy.js';
import type { OutboundRequest, OutboundDependencies } from './outbound-request.js';

export class HedgeTimer {
  private timer: Timer | undefined;

  /** @param onDue called when the delay is over */
  constructor(
    private readonly request: OutboundRequest,
    private readonly dependencies: OutboundDependencies,
    private readonly transport: OutboundTransport,
    private readonly onDue: () => void,
  ) {}

  /** Starts the delay anew for the attempt that is about to be sent, if that may be hedged. */
  restart(): void {
    this.cancel();
    const delayMs = this.delayMs();
    if (delayMs !== undefined) this.timer = this.dependencies.clock.schedule(delayMs, this.onDue);
  }

  /** Delay until an attempt that is sent now is hedged, in milliseconds; undefined if it is not hedged. */
  delayMs(): number | undefined {
    const { hedgeDelayFactor, repeatable, allowance, trafficClass, deadlineAt } = this.request;
    const { balancer, clock } = this.dependencies;
    return decideHedgeDelay({
      delayFactor: hedgeDelayFactor,
      repeatable,
      replayable: this.transport.replayable,
      retriesLeft: allowance.available,
      usualLatencyMs: balancer.baselineLatencyMs(trafficClass),
      remainingMs: deadlineAt - clock.now(),
    });
  }

  cancel(): void {
    this.timer?.cancel();
  }
}
