/** Prometheus metrics of a control replica: its revision and the requests that wait for changes. */
import { Gauge, type Registry } from 'prom-client';
import type { CommandLog } from '../control/command-log.js';
import type { ChangeNotifier } from '../control/change-notifier.js';
import type { ResourceStore } from '../control/resource-store.js';

export function registerControlMetrics(
  registry: Registry,
  store: ResourceStore,
  notifier: ChangeNotifier,
  log: Pick<CommandLog, 'bearableLosses'>,
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
  new Gauge({
    name: 'shoredoor_bearable_losses',
    help: 'On the leader: replicas that can be lost now, with their disks, without losing changes or the majority; 0 elsewhere.',
    registers: [registry],
    collect() {
      this.set(log.bearableLosses() ?? 0);
    },
  });
}
