/** Prometheus metrics of {@link CallStats}, collected on each scrape. */
import { Counter, Gauge, type Registry } from 'prom-client';
import { LATENCY_BOUNDS_MS, type CallStats } from '../call/call-stats.js';

/** @param direction part of the metric names: `inbound`, `outbound` or `edge` */
export function registerCallMetrics(registry: Registry, stats: CallStats, direction: string): void {
  new Counter({
    name: `shoredoor_${direction}_calls_total`,
    help: 'Calls by kind and result.',
    labelNames: ['kind', 'result'],
    registers: [registry],
    collect() {
      this.reset();
      for (const [kind, counts] of stats.kinds) {
        this.inc({ kind, result: 'relayed' }, counts.relayed);
        this.inc({ kind, result: 'broken' }, counts.broken);
        this.inc({ kind, result: 'cancelled' }, counts.cancelled);
        for (const [reason, count] of counts.refused) {
          this.inc({ kind, result: `refused-${reason}` }, count);
        }
      }
    },
  });
  new Gauge({
    name: `shoredoor_${direction}_latency_milliseconds_bucket`,
    help: 'Calls with a latency up to the bound, by kind, cumulative.',
    labelNames: ['kind', 'le'],
    registers: [registry],
    collect() {
      this.reset();
      for (const [kind, counts] of stats.kinds) {
        let cumulative = 0;
        counts.latencyCounts.forEach((count, index) => {
          cumulative += count;
          const bound = LATENCY_BOUNDS_MS[index];
          this.set({ kind, le: bound === undefined ? '+Inf' : String(bound) }, cumulative);
        });
      }
    },
  });
  new Gauge({
    name: `shoredoor_${direction}_calls_in_flight`,
    help: 'Calls under way.',
    registers: [registry],
    collect() {
      this.set(stats.inFlight);
    },
  });
}
