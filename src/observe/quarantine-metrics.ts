/** Prometheus metrics of target crashes and quarantined requests, collected on each scrape. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** Functions that return the current values. */
export interface QuarantineMetricSources {
  /** Crashes of the local targets since the start of this process. */
  readonly crashes: () => number;
  /** Known quarantines, active or recently ended. */
  readonly quarantines: () => number;
}

/** Refusals due to a quarantine are counted by reason in the call metrics. */
export function registerQuarantineMetrics(
  registry: Registry,
  sources: QuarantineMetricSources,
): void {
  new Counter({
    name: 'shoredoor_target_crashes_total',
    help: 'Crashes of the targets beside this process.',
    registers: [registry],
    collect() {
      this.reset();
      this.inc(sources.crashes());
    },
  });
  new Gauge({
    name: 'shoredoor_quarantines',
    help: 'Requests in quarantine or on probation, as this process knows them.',
    registers: [registry],
    collect() {
      this.set(sources.quarantines());
    },
  });
}
