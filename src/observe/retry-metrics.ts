/** Prometheus gauges of a gate's part of its service's retry budget, collected on each scrape. */
import { Gauge, type Registry } from 'prom-client';
import type { ArrivalCounts, ServiceRetryBudget } from '../retry/service-retry-budget.js';

const GAUGES: readonly { name: string; help: string; value: keyof ArrivalCounts }[] = [
  { name: 'first_arrivals', help: 'First arrivals at the target, in the window.', value: 'firsts' },
  {
    name: 'repeats',
    help: 'Repeats in the window: calls sent again, and calls of repeated runs.',
    value: 'repeats',
  },
  { name: 'allowed', help: 'Repeats that the budget allows in such a window.', value: 'allowed' },
];

/** Refused repeats are counted by reason in the call metrics. */
export function registerRetryMetrics(registry: Registry, budget: ServiceRetryBudget): void {
  for (const { name, help, value } of GAUGES) {
    new Gauge({
      name: `shoredoor_retry_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(budget.counts()[value]);
      },
    });
  }
}
