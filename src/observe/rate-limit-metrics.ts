/** Prometheus gauge of the rate limit that a target announces, collected on each scrape. */
import { Gauge, type Registry } from 'prom-client';

/** Refused calls are counted by reason in the call metrics. @param perSecond undefined if there is no limit */
export function registerRateLimitMetrics(
  registry: Registry,
  perSecond: () => number | undefined,
): void {
  new Gauge({
    name: 'shoredoor_target_rate_limit',
    help: 'Requests a second that the target accepts; +Inf if it announces no limit.',
    registers: [registry],
    collect() {
      this.set(perSecond() ?? Infinity);
    },
  });
}
