/** Prometheus metrics of crashes of the target and of requests that are kept from targets. Owns nothing. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** Where the sources come from. */
export interface QuarantineMetricSources {
  /** Crashes of the targets beside this process since its start. */
  readonly crashes: () => number;
  /** Quarantines that this process knows, in force or ended lately. */
  readonly quarantines: () => number;
}

/** Registers the metrics. Requests refused for it are counted with all refusals, by their reason. */
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
