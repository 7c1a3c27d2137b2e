/**
 * Records what the targets of a soak announce and when requests arrive at them, and checks that announced rate limits are
 * kept and that no request arrives at a target that has announced its shutdown. Has no clock; times are passed in, in
 * milliseconds, in ascending order.
 */
import type { TargetAnnouncement } from '../../src/http/target-announcement.js';

/** A rate limit that was exceeded, or a shutdown that was ignored. */
export interface AnnouncementViolation {
  readonly type: 'rate-limit' | 'leaving';
  readonly detail: string;
}

/** A rate limit as it was announced first, or changed to. */
interface LimitStep {
  readonly perSecond: number;
  readonly at: number;
}

/** A period in which an instance announced rate limits without a gap. */
interface LimitPeriod {
  readonly steps: LimitStep[];
  /** When the first answer that announced it reached a caller; undefined if none did. */
  relayedAt: number | undefined;
  endedAt: number;
}

interface InstanceHistory {
  readonly arrivals: number[];
  readonly limits: LimitPeriod[];
  /** When the first answer that announced the shutdown reached a caller. */
  leavingRelayedAt: number | undefined;
}

const WINDOW_MS = 4_000;
/** Time until a limit must be in force, and until arrivals at a leaving target must have ended, in milliseconds. */
const LIMIT_IN_FORCE_MS = 3_000;
const DRAIN_MS = 2_000;
/** Arrivals allowed in a window: this factor of the limit, and a fixed number. */
const ALLOWED_FACTOR = 1.1;
const ALLOWED_EXTRA = 5;
const MS_PER_SECOND = 1_000;

export class AnnouncementLedger {
  private readonly instances = new Map<string, InstanceHistory>();

  /** A request arrives at an instance. */
  onArrival(instance: string, at: number): void {
    this.historyOf(instance).arrivals.push(at);
  }

  /** An instance begins to announce a rate limit, or another one. @param perSecond undefined if it stops */
  onLimit(instance: string, perSecond: number | undefined, at: number): void {
    const { limits } = this.historyOf(instance);
    const last = limits.at(-1);
    const isOpen = last !== undefined && last.endedAt === Infinity;
    if (perSecond === undefined) {
      if (isOpen) last.endedAt = at;
    } else if (isOpen) last.steps.push({ perSecond, at });
    else limits.push({ steps: [{ perSecond, at }], relayedAt: undefined, endedAt: Infinity });
  }

  /** An answer of an instance has reached a caller. */
  onRelayed(instance: string, { rateLimit, isLeaving }: TargetAnnouncement, at: number): void {
    const history = this.historyOf(instance);
    if (isLeaving) history.leavingRelayedAt ??= at;
    const last = history.limits.at(-1);
    if (last === undefined || rateLimit.type !== 'limited') return;
    if (last.steps.some(({ perSecond }) => perSecond === rateLimit.perSecond))
      last.relayedAt ??= at;
  }

  /** Number of announced limits that were checked. */
  get limitCheckCount(): number {
    return this.histories.flatMap(({ limits }) => limits).filter(isCheckable).length;
  }

  /** Number of announced shutdowns that were checked. */
  get leavingCheckCount(): number {
    return this.histories.filter((each) => each.leavingRelayedAt !== undefined).length;
  }

  violations(): AnnouncementViolation[] {
    return [...this.instances].flatMap(([instance, history]) => [
      ...limitViolations(instance, history),
      ...leavingViolations(instance, history),
    ]);
  }

  private get histories(): InstanceHistory[] {
    return [...this.instances.values()];
  }

  private historyOf(instance: string): InstanceHistory {
    let history = this.instances.get(instance);
    if (history === undefined) {
      history = { arrivals: [], limits: [], leavingRelayedAt: undefined };
      this.instances.set(instance, history);
    }
    return history;
  }
}

function isCheckable({ relayedAt, endedAt }: LimitPeriod): boolean {
  return relayedAt !== undefined && relayedAt + LIMIT_IN_FORCE_MS < endedAt;
}

function limitViolations(instance: string, history: InstanceHistory): AnnouncementViolation[] {
  return history.limits
    .filter(isCheckable)
    .flatMap((period) => limitViolationsIn(instance, history.arrivals, period));
}

function limitViolationsIn(
  instance: string,
  allArrivals: readonly number[],
  { steps, relayedAt, endedAt }: LimitPeriod,
): AnnouncementViolation[] {
  const from = relayedAt! + LIMIT_IN_FORCE_MS;
  const arrivals = allArrivals.filter((at) => at >= from && at < endedAt);
  for (const at of arrivals) {
    const count = arrivals.filter((other) => other > at - WINDOW_MS && other <= at).length;
    const perSecond = highestLimit(steps, at - WINDOW_MS - LIMIT_IN_FORCE_MS, at);
    const allowed = (ALLOWED_FACTOR * perSecond * WINDOW_MS) / MS_PER_SECOND + ALLOWED_EXTRA;
    if (count <= allowed) continue;
    const detail = `${instance} got ${count} requests in 4 s up to ${Math.round(at)} ms at ${perSecond} a second`;
    return [{ type: 'rate-limit', detail }];
  }
  return [];
}

/** The highest limit in force at any time from `from` to `until`. */
function highestLimit(steps: readonly LimitStep[], from: number, until: number): number {
  const rates = steps.flatMap(({ perSecond, at }, index) => {
    const endsAt = steps[index + 1]?.at ?? Infinity;
    return endsAt >= from && at <= until ? [perSecond] : [];
  });
  return Math.max(...rates);
}

function leavingViolations(
  instance: string,
  { arrivals, leavingRelayedAt }: InstanceHistory,
): AnnouncementViolation[] {
  if (leavingRelayedAt === undefined) return [];
  const late = arrivals.filter((at) => at > leavingRelayedAt + DRAIN_MS);
  if (late.length === 0) return [];
  const lateMs = Math.round(late.at(-1)! - leavingRelayedAt);
  const detail = `${late.length} requests arrived at ${instance} up to ${lateMs} ms after it announced its shutdown`;
  return [{ type: 'leaving', detail }];
}
