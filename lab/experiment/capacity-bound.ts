/**
 * The most whole requests that the services could finish under the policy: each group's share of
 * every service first, then what is left by importance. No overload control that keeps the policy can
 * finish more in the long run.
 */
import type { PolicyTable } from '../../src/policy/policy-table.js';
import type { DemandModel, Deployment } from '../model/deployment.js';

/** Work that one request needs, in milliseconds of slot time by service. */
type SlotTime = ReadonlyMap<string, number>;

/** Factor by which a service's own work is slowed; 1 in ordinary times. */
type SlowFactorOf = (service: string) => number;

/** A demand as the bound fills it in. */
interface DemandAllocation {
  readonly demand: DemandModel;
  readonly importance: number;
  readonly slotTime: SlotTime;
  /** Requests a second offered and not placed yet. */
  unallocated: number;
  /** Requests a second placed. */
  allocated: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Adds the slot time of one call and of everything below it. @returns its total duration */
function addSlotTime(
  deployment: Deployment,
  service: string,
  method: string,
  path: string,
  slowness: SlowFactorOf,
  into: Map<string, number>,
): number {
  const model = deployment.services.find((candidate) => candidate.name === service)!;
  const handler = model.handlers.find(
    (candidate) => candidate.method === method && path.startsWith(candidate.path),
  );
  if (handler === undefined) return 0;
  let durationMs = handler.workMs * slowness(service);
  for (const call of handler.calls) {
    durationMs += addSlotTime(deployment, call.service, call.method, call.path, slowness, into);
  }
  into.set(service, (into.get(service) ?? 0) + durationMs);
  return durationMs;
}

/** Places as much of the demands as fits, the most important first and evenly among equals. */
function allocateByImportance(
  demands: readonly DemandAllocation[],
  freeSlotMs: Map<string, number>,
): void {
  const levels = [...new Set(demands.map((entry) => entry.importance))].sort((a, b) => b - a);
  for (const level of levels) {
    const equals = demands.filter((entry) => entry.importance === level && entry.unallocated > 0);
    for (const entry of equals) {
      // Demands of one importance that need the same services split them in proportion.
      const competing = equals.slice(equals.indexOf(entry));
      const rate = Math.min(entry.unallocated, feasibleRate(entry, competing, freeSlotMs));
      allocate(entry, rate, freeSlotMs);
    }
  }
}

/** The rate of `entry` that fits when its rivals for each service get their parts too. */
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
 * The bound for a moment, in requests a second.
 * @param rateOf requests a second offered by a demand
 */
export function capacityBound(
  deployment: Deployment,
  table: PolicyTable,
  rateOf: (demand: DemandModel) => number,
  slowness: SlowFactorOf,
): number {
  const allocations = deployment.demand.map((demand): DemandAllocation => {
    const kind = table.kind(demand.kind)!;
    const slotTime = new Map<string, number>();
    addSlotTime(deployment, kind.service, demand.method, demand.path, slowness, slotTime);
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
