/** Prometheus gauges of the process that prom-client's default metrics lack, collected on each scrape. */
import { getHeapStatistics } from 'node:v8';
import { Gauge, type Registry } from 'prom-client';
import { eventLoopMonitor } from './event-loop-monitor.js';

export function registerProcessMetrics(registry: Registry): void {
  new Gauge({
    name: 'shoredoor_heap_limit_bytes',
    help: 'Heap size at which the engine ends the process.',
    registers: [registry],
    collect() {
      this.set(getHeapStatistics().heap_size_limit);
    },
  });
  new Gauge({
    name: 'shoredoor_event_loop_delay_max_milliseconds',
    help: 'Longest delay of the event loop since the last scrape.',
    registers: [registry],
    collect() {
      this.set(eventLoopMonitor.takeMaxDelayMs());
    },
  });
}
