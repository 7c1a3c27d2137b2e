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
type SlownessOf = (service: string) => number;

/** A demand as the bound fills it in. */
interface OpenDemand {
  readonly demand: DemandModel;
  readonly importance: number;
  readonly slotTime: SlotTime;
  /** Requests a second offered and not placed yet. */
  open: number;
  /** Requests a second placed. */
  placed: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Adds the slot time of one call and of everything below it. @returns its total duration */
function addSlotTime(
  deployment: Deployment,
  service: string,
  method: string,
  path: string,
  slowness: SlownessOf,
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
function fill(demands: readonly OpenDemand[], freeSlotMs: Map<string, number>): void {
  const levels = [...new Set(demands.map((entry) => entry.importance))].sort((a, b) => b - a);
  for (const level of levels) {
    const equals = demands.filter((entry) => entry.importance === level && entry.open > 0);
    for (const entry of equals) {
      // Demands of one importance that need the same services split them in proportion.
      const rivals = equals.slice(equals.indexOf(entry));
      const rate = Math.min(entry.open, fittingRate(entry, rivals, freeSlotMs));
      place(entry, rate, freeSlotMs);
    }
  }
}

/** The rate of `entry` that fits when its rivals for each service get their parts too. */
function fittingRate(
  entry: OpenDemand,
  rivals: readonly OpenDemand[],
  freeSlotMs: ReadonlyMap<string, number>,
): number {
  let rate = Infinity;
  for (const [service, perRequestMs] of entry.slotTime) {
    const wanted = rivals.reduce(
      (sum, rival) => sum + rival.open * (rival.slotTime.get(service) ?? 0),
      0,
    );
    const free = freeSlotMs.get(service)!;
    const part = Math.min(1, free / wanted);
    rate = Math.min(rate, entry.open * part, free / perRequestMs);
  }
  return rate;
}

function place(entry: OpenDemand, rate: number, freeSlotMs: Map<string, number>): void {
  entry.open -= rate;
  entry.placed += rate;
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
  slowness: SlownessOf,
): number {
  const open = deployment.demand.map((demand): OpenDemand => {
    const kind = table.kind(demand.kind)!;
    const slotTime = new Map<string, number>();
    addSlotTime(deployment, kind.service, demand.method, demand.path, slowness, slotTime);
    return { demand, importance: kind.importance, slotTime, open: rateOf(demand), placed: 0 };
  });
  const groups = [...new Set(deployment.demand.map((demand) => demand.group))];
  const left = new Map(deployment.services.map((service) => [service.name, 0]));
  for (const group of groups) {
    const part = table.shareOf(group) / table.totalShare;
    const slice = new Map(
      deployment.services.map((service) => [
        service.name,
        service.targets * service.slots * MILLISECONDS_PER_SECOND * part,
      ]),
    );
    fill(
      open.filter((entry) => entry.demand.group === group),
      slice,
    );
    for (const [service, unused] of slice) left.set(service, left.get(service)! + unused);
  }
  fill(open, left);
  return open.reduce((sum, { placed }) => sum + placed, 0);
}
