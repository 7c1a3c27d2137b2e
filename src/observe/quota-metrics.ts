/** Prometheus metrics of the groups at their limits, collected on each scrape. */
import { Counter, Gauge, type Registry } from 'prom-client';
import { IMPORTANCE_NAMES } from '../policy/importance.js';
import type { HeatCounts } from '../quota/heat-recorder.js';

/** Refusals of all groups are counted by reason in the call metrics. */
export function registerQuotaMetrics(registry: Registry, counts: () => HeatCounts): void {
  new Gauge({
    name: 'shoredoor_quota_limited_groups',
    help: 'Groups that ask for more than their limits at this process.',
    registers: [registry],
    collect() {
      this.set(counts().groups);
    },
  });
  registerRequests(registry, 'offered', () => counts().offered);
  registerRequests(registry, 'refused', () => counts().refused);
}

function registerRequests(
  registry: Registry,
  result: 'offered' | 'refused',
  countsOf: () => HeatCounts[typeof result],
): void {
  new Counter({
    name: `shoredoor_quota_limited_${result}_total`,
    help: `Requests ${result} of groups while they were at their limits, by importance.`,
    labelNames: ['importance'],
    registers: [registry],
    collect() {
      this.reset();
      const counts = countsOf();
      for (const [index, importance] of IMPORTANCE_NAMES.entries()) {
        this.inc({ importance }, counts[index]);
      }
    },
  });
}
