/** Prometheus metrics of a {@link Follower}: the revision and the age of its configuration. */
import { Gauge, type Registry } from 'prom-client';
import type { Follower } from '../follower/follower.js';

export function registerFollowerMetrics(registry: Registry, follower: Follower): void {
  new Gauge({
    name: 'shoredoor_applied_revision',
    help: 'Revision of the configuration in force.',
    registers: [registry],
    collect() {
      this.set(follower.view.appliedRevision);
    },
  });
  new Gauge({
    name: 'shoredoor_told_revision',
    help: 'Newest revision that a control replica has told of in an answer to a heartbeat.',
    registers: [registry],
    collect() {
      this.set(follower.reportedRevision);
    },
  });
  new Gauge({
    name: 'shoredoor_configuration_proof_age_milliseconds',
    help: 'Time since control confirmed that the configuration here is the newest; +Inf before the first time.',
    registers: [registry],
    collect() {
      this.set(follower.proofAgeMs());
    },
  });
  new Gauge({
    name: 'shoredoor_sync_held_milliseconds',
    help: 'Time since the sync under way was sent.',
    registers: [registry],
    collect() {
      this.set(follower.syncHeldMs);
    },
  });
}
