/**
 * The balancers of one process, one for each service it calls. Owns them and the latest list of endpoints; relies on
 * membership for that list.
 */
import { Balancer, type BalancerOptions } from './balancer.js';
import type { EndpointRecord } from '../call/endpoint.js';

/** What a directory is made of; the slow start time is looked up by service. */
export interface DirectoryOptions extends Omit<BalancerOptions, 'slowStartMs'> {
  readonly slowStartMs: (service: string) => number;
}

export class ServiceDirectory {
  private readonly balancers = new Map<string, Balancer>();
  private recordsByService = new Map<string, EndpointRecord[]>();
  private endpointCounts = new Map<string, number>();

  constructor(private readonly options: DirectoryOptions) {}

  /** Adopts a new endpoint list of all services. */
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

  /** Number of endpoints of each service that has any. */
  get machines(): ReadonlyMap<string, number> {
    return this.endpointCounts;
  }

  /** Whether any endpoint of the service is known. */
  has(service: string): boolean {
    return this.recordsByService.has(service);
  }

  /** Origins of all endpoints known. */
  origins(): Set<string> {
    const origins = new Set<string>();
    for (const records of this.recordsByService.values()) {
      for (const record of records) origins.add(record.origin);
    }
    return origins;
  }

  /** The balancer of a service, made when it is first called. */
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
