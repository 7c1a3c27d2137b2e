/** Prometheus gauges of the load that a target reports in its answers, collected on each scrape. */
import { Gauge, type Registry } from 'prom-client';
import type { TargetLoad } from '../http/target-load.js';

const GAUGES: readonly { name: string; help: string; value: keyof TargetLoad }[] = [
  {
    name: 'running',
    help: 'Requests that the target reports as running; NaN if it does not report them now.',
    value: 'running',
  },
  {
    name: 'waiting',
    help: 'Requests that the target reports as waiting; NaN if it does not report them now.',
    value: 'waiting',
  },
  {
    name: 'slowdown',
    help: 'Duration of work that the target reports, as a multiple of the usual one; NaN if it does not report it now.',
    value: 'slowdown',
  },
];

/** @param load the latest load; undefined if there is no recent one */
export function registerTargetLoadMetrics(
  registry: Registry,
  load: () => TargetLoad | undefined,
): void {
  for (const { name, help, value } of GAUGES) {
    new Gauge({
      name: `shoredoor_target_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(load()?.[value] ?? NaN);
      },
    });
  }
}
