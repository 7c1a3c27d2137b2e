/** Prometheus gauges of the room at the services on the path of requests, collected on each scrape. */
import { Gauge, type Registry } from 'prom-client';
import type { TargetPressure } from '../admission/target-pressure.js';
import type { FirstHopRoom } from '../ingress/first-hop-room.js';

export function registerRoomMetrics(
  registry: Registry,
  pressure: TargetPressure,
  room: FirstHopRoom,
): void {
  new Gauge({
    name: 'shoredoor_target_pressure',
    help: 'Demand for the target as a multiple of its capacity; 1 if it has room for all.',
    registers: [registry],
    collect() {
      this.set(pressure.current());
    },
  });
  new Gauge({
    name: 'shoredoor_first_hop_admitted',
    help: 'Part of the requests leading to a service that is admitted here, 0 to 1.',
    labelNames: ['service'],
    registers: [registry],
    collect() {
      this.reset();
      for (const [service, part] of room.admittedParts()) this.set({ service }, part);
    },
  });
}
