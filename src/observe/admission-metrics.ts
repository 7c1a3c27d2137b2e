/** Prometheus gauges of a gate's admission controller, collected on each scrape. */
import { Gauge, type Registry } from 'prom-client';
import type { AdmissionController, AdmissionStatus } from '../admission/admission-controller.js';

const GAUGES: readonly { name: string; help: string; value: keyof AdmissionStatus }[] = [
  { name: 'limit', help: 'Calls that may be inside the target.', value: 'limit' },
  { name: 'in_flight', help: 'Calls inside the target.', value: 'inFlight' },
  { name: 'waiting', help: 'Calls that wait to be let in.', value: 'waiting' },
];

export function registerAdmissionMetrics(registry: Registry, admission: AdmissionController): void {
  for (const { name, help, value } of GAUGES) {
    new Gauge({
      name: `shoredoor_admission_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(admission.status()[value]);
      },
    });
  }
}
