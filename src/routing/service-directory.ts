/** Holds the latest list of endpoints of all services, and a {@link Balancer} for each service that the process calls. */
import { Balancer, type BalancerOptions } from './balancer.js';
import type { EndpointRecord } from '../call/endpoint.js';

/** Options of the balancers; the duration of the slow start depends on the service. */
export interface DirectoryOptions extends Omit<BalancerOptions, 'slowStartMs'> {
  readonly slowStartMs: (service: string) => number;
}

export class ServiceDirectory {
  private readonly balancers = new Map<string, Balancer>();
  private recordsByService = new Map<string, EndpointRecord[]>();
  private endpointCounts = new Map<string, number>();

  constructor(private readonly options: DirectoryOptions) {}

  /** Replaces the list of endpoints of all services. */
  update(records: Iterable<EndpointRecord>): void {
    const byService = new Map<string, EndpointRecord[]>();
    for (const record of records) {
      const list = byService.get(record.service);
      if (list === undefined) byService.set(record.service, [record]);
      else list.push(record);
    }
    this.recordsByService = byService;
    this.endpointCounts = new Map(
      [...byService].map(([service, list]) => [service, list.length] as const),
    );
    for (const [service, balancer] of this.balancers) {
      balancer.update(byService.get(service) ?? []);
    }
  }

  /** Number of endpoints by service; services without endpoints are missing. */
  get endpointCountByService(): ReadonlyMap<string, number> {
    return this.endpointCounts;
  }

  /** Whether the service has at least one known endpoint. */
  has(service: string): boolean {
    return this.recordsByService.has(service);
  }

  /** Returns the origins of all known endpoints. */
  origins(): Set<string> {
    const origins = new Set<string>();
    for (const records of this.recordsByService.values()) {
      for (const record of records) origins.add(record.origin);
    }
    return origins;
  }

  /** Returns the balancer of a service, created on first use. */
  balancer(service: string): Balancer {
    let balancer = this.balancers.get(service);
    if (balancer === undefined) {
      const { slowStartMs, ...rest } = this.options;
      balancer = new Balancer({ ...rest, slowStartMs: () => slowStartMs(service) });
      balancer.update(this.recordsByService.get(service) ?? []);
      this.balancers.set(service, balancer);
    }
    return balancer;
  }
}
