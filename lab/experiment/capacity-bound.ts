/**
 * Upper bound on the goodput that any overload control can reach in the long run while it respects the policy: each
 * group first uses its share of every service, then the remaining capacity is allocated by importance.
 */
import type { PolicyTable } from '../../src/policy/policy-table.js';
import type { DemandModel, Deployment } from '../model/deployment.js';

/** Slot time that one request needs, in milliseconds by service. */
type SlotTime = ReadonlyMap<string, number>;

/** Returns the factor by which a service's own work is slowed down; 1 is normal speed. */
type SlowFactorOf = (service: string) => number;

/** The capacity allocated to a demand so far. */
interface DemandAllocation {
  readonly demand: DemandModel;
  readonly importance: number;
  readonly slotTime: SlotTime;
  /** Offered load that has no capacity yet, in requests per second. */
  unallocated: number;
  /** Load that has been allocated capacity, in requests per second. */
  allocated: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Adds the slot time of a call and of its nested calls to `into`. A call occupies its slot during its nested calls.
 * @returns the duration of the call, in milliseconds
 */
function addSlotTime(
  deployment: Deployment,
  service: string,
  method: string,
  path: string,
  slowFactorOf: SlowFactorOf,
  into: Map<string, number>,
): number {
  const model = deployment.services.find((candidate) => candidate.name === service)!;
  const handler = model.handlers.find(
    (candidate) => candidate.method === method && path.startsWith(candidate.path),
  );
  if (handler === undefined) return 0;
  let durationMs = handler.workMs * slowFactorOf(service);
  for (const call of handler.calls) {
    durationMs += addSlotTime(deployment, call.service, call.method, call.path, slowFactorOf, into);
  }
  into.set(service, (into.get(service) ?? 0) + durationMs);
  return durationMs;
}

/** Allocates free slot time to the demands in order of importance; equally important demands share it in proportion. */
function allocateByImportance(
  demands: readonly DemandAllocation[],
  freeSlotMs: Map<string, number>,
): void {
  const levels = [...new Set(demands.map((entry) => entry.importance))].sort((a, b) => b - a);
  for (const level of levels) {
    const equals = demands.filter((entry) => entry.importance === level && entry.unallocated > 0);
    for (const entry of equals) {
      // Demands handled earlier in this loop already have their part.
      const competing = equals.slice(equals.indexOf(entry));
      const rate = Math.min(entry.unallocated, feasibleRate(entry, competing, freeSlotMs));
      allocate(entry, rate, freeSlotMs);
    }
  }
}

/** Returns the rate of `entry` that fits if all competing demands get a proportional part of each service. */
function feasibleRate(
  entry: DemandAllocation,
  competing: readonly DemandAllocation[],
  freeSlotMs: ReadonlyMap<string, number>,
): number {
  let rate = Infinity;
  for (const [service, perRequestMs] of entry.slotTime) {
    const wanted = competing.reduce(
      (sum, rival) => sum + rival.unallocated * (rival.slotTime.get(service) ?? 0),
      0,
    );
    const free = freeSlotMs.get(service)!;
    const part = Math.min(1, free / wanted);
    rate = Math.min(rate, entry.unallocated * part, free / perRequestMs);
  }
  return rate;
}

function allocate(entry: DemandAllocation, rate: number, freeSlotMs: Map<string, number>): void {
  entry.unallocated -= rate;
  entry.allocated += rate;
  for (const [service, perRequestMs] of entry.slotTime) {
    freeSlotMs.set(service, freeSlotMs.get(service)! - rate * perRequestMs);
  }
}

/**
 * Computes the bound for constant load, in requests per second.
 * @param rateOf returns the offered load of a demand, in requests per second
 */
export function capacityBound(
  deployment: Deployment,
  table: PolicyTable,
  rateOf: (demand: DemandModel) => number,
  slowFactorOf: SlowFactorOf,
): number {
  const allocations = deployment.demand.map((demand): DemandAllocation => {
    const kind = table.kind(demand.kind)!;
    const slotTime = new Map<string, number>();
    addSlotTime(deployment, kind.service, demand.method, demand.path, slowFactorOf, slotTime);
    return {
      demand,
      importance: kind.importance,
      slotTime,
      unallocated: rateOf(demand),
      allocated: 0,
    };
  });
  const groups = [...new Set(deployment.demand.map((demand) => demand.group))];
  const remainingSlotMs = new Map(deployment.services.map((service) => [service.name, 0]));
  for (const group of groups) {
    const part = table.shareOf(group) / table.totalShare;
    const guaranteedSlotMs = new Map(
      deployment.services.map((service) => [
        service.name,
        service.targets * service.slots * MILLISECONDS_PER_SECOND * part,
      ]),
    );
    allocateByImportance(
      allocations.filter((entry) => entry.demand.group === group),
      guaranteedSlotMs,
    );
    for (const [service, unused] of guaranteedSlotMs)
      remainingSlotMs.set(service, remainingSlotMs.get(service)! + unused);
  }
  allocateByImportance(allocations, remainingSlotMs);
  return allocations.reduce((sum, { allocated }) => sum + allocated, 0);
}
