/** Starts the outbound calls of a process, which share a throttle and one retry budget per service. */
import type { CallThrottle } from '../admission/call-throttle.js';
import { OverloadThrottle } from '../admission/overload-throttle.js';
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import { UNLIMITED_RETRIES, RetryBudget, type RetryLimiter } from '../retry/retry-budget.js';
import type { ServiceDirectory } from '../routing/service-directory.js';
import { OutboundCall } from './outbound-call.js';
import type { OutboundListener, OutboundRequest } from './outbound-request.js';
import type { OutboundTransport } from '../call/transport.js';

export interface RouterOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: ServiceDirectory;
  /** Default: an {@link OverloadThrottle} with default options. */
  readonly throttle?: CallThrottle;
  /** Whether the gates of the callees limit repeats, so that this process needs no retry budget. Default false. */
  readonly calleesBoundRepeats?: boolean;
}

export class OutboundRouter {
  private readonly throttle: CallThrottle;
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: RouterOptions) {
    this.throttle = options.throttle ?? new OverloadThrottle(options.random);
  }

  /** Starts a call to `service`. The listener may be called before this returns. */
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

  private budget(service: string): RetryLimiter {
    if (this.options.calleesBoundRepeats === true) return UNLIMITED_RETRIES;
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget();
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
