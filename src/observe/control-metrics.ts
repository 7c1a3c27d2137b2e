/** Prometheus metrics of a control replica: its revision and the requests that wait for changes. */
import { Gauge, type Registry } from 'prom-client';
import type { ChangeNotifier } from '../control/change-notifier.js';
import type { ResourceStore } from '../control/resource-store.js';

export function registerControlMetrics(
  registry: Registry,
  store: ResourceStore,
  notifier: ChangeNotifier,
): void {
  new Gauge({
    name: 'shoredoor_store_revision',
    help: 'Newest revision that this replica knows to be accepted.',
    registers: [registry],
    collect() {
      this.set(store.revision);
    },
  });
  new Gauge({
    name: 'shoredoor_waiting_requests',
    help: 'Syncs and watches that wait at this replica for news.',
    registers: [registry],
    collect() {
      this.set(notifier.waiting);
    },
  });
}
