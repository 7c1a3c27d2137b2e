/**
 * Makes the outbound calls of one process. Owns what they share: the throttle, and a retry budget for each service. Relies on
 * the directory for the balancer of a service.
 */
import type { CallThrottle } from '../admission/call-throttle.js';
import { OverloadThrottle } from '../admission/overload-throttle.js';
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import { CALLEES_DECIDE, RetryBudget, type RetryCredit } from '../retry/retry-budget.js';
import type { ServiceDirectory } from '../routing/service-directory.js';
import { OutboundCall } from './outbound-call.js';
import type { OutboundListener, OutboundRequest } from './outbound-request.js';
import type { OutboundTransport } from '../call/transport.js';

/** What a router is made of. */
export interface RouterOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: ServiceDirectory;
  /** Default: an {@link OverloadThrottle} with its own defaults. */
  readonly throttle?: CallThrottle;
  /** Whether the gates of callees bound repeats, and this process need not. Default false. */
  readonly calleesBoundRepeats?: boolean;
}

export class OutboundRouter {
  private readonly throttle: CallThrottle;
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: RouterOptions) {
    this.throttle = options.throttle ?? new OverloadThrottle(options.random);
  }

  /** Starts a call to `service`. The listener may hear the result before this returns. */
  call(
    service: string,
    request: OutboundRequest,
    transport: OutboundTransport,
    listener: OutboundListener,
  ): OutboundCall {
    const call = new OutboundCall(
      request,
      {
        clock: this.options.clock,
        throttle: this.throttle,
        budget: this.budget(service),
        balancer: this.options.directory.balancer(service),
      },
      transport,
      listener,
    );
    call.start();
    return call;
  }

  private budget(service: string): RetryCredit {
    if (this.options.calleesBoundRepeats === true) return CALLEES_DECIDE;
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget();
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
