/**
 * Enforces the quotas of groups at one ingress: limits the requests of each group per window to the grant of the leader of
 * control, which keeps the sum of all grants within the quota of the group. Requests may wait for a larger grant.
 * Reports are sent with each heartbeat and whenever {@link IngressQuotaOptions.onGrantNeeded} is called.
 */
import type { Clock, Timer } from '../common/clock.js';
import type { Group } from '../policy/group-table.js';
import type { Importance } from '../policy/importance.js';
import { claimLevel } from '../policy/scarcity-order.js';
import { GrantRequestBackoff, GrantRequestBatcher } from './grant-request-schedule.js';
import { HeatRecorder, type HeatCounts, type HeatEvent } from './heat-recorder.js';
import { GroupQuota, NOTHING_GRANTED, type QuotaPermit, type QuotaState } from './group-quota.js';
import {
  QUOTA_LEASE_MS,
  type GroupUse,
  type QuotaGrants,
  type QuotaReport,
} from './quota-messages.js';

export type { QuotaPermit, QuotaState } from './group-quota.js';

/** Options of {@link IngressQuota}. */
export interface IngressQuotaOptions {
  readonly clock: Clock;
  /** Start time of the process, in milliseconds since 1970. */
  readonly startedAt: number;
  /** Length of the quota window, in milliseconds. */
  readonly windowMs: number;
  /** Called when demand exceeds a grant, to send a report to control now. */
  readonly onGrantNeeded: () => void;
  /** Called when a group has reached its limit here, and when it is within it again. */
  readonly onHeat?: (event: HeatEvent) => void;
}

/** A request that needs a permit. */
export interface PermitRequest {
  readonly group: Group;
  /** Importance of the route of the request. */
  readonly importance: Importance;
  /** How long the request may wait for a permit, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Receives the permit of a request, or undefined if the request may not run. */
export type PermitCallback = (permit: QuotaPermit | undefined) => void;

/** Minimum interval in milliseconds at which the waiting requests of a hot group are served. */
const MIN_SERVICE_INTERVAL_MS = 5;

/** Number of groups above which idle ones are evicted, to bound memory. */
const MAX_IDLE_GROUPS = 1_000;

/** A request that waits for a permit. */
interface Waiter {
  readonly importance: Importance;
  readonly timer: Timer;
  readonly listener: PermitCallback;
}

/** One group at this ingress. */
interface GroupEntry {
  readonly name: string;
  readonly quota: GroupQuota;
  readonly requestBackoff: GrantRequestBackoff;
  /** For kinds that come first in a group at its limit: control may keep something for them. */
  readonly urgentBackoff: GrantRequestBackoff;
  /** By urgency, then in order of arrival. */
  waiters: Waiter[];
  /** Whether the waiters are served again after a delay. */
  isServiceDue: boolean;
}

const UNLIMITED: QuotaPermit = {
  release: () => {
    // The group has no limit.
  },
};

/** Issues permits for the requests of all groups at one ingress. */
export class IngressQuota {
  private readonly groups = new Map<string, GroupEntry>();
  private readonly requestBatcher: GrantRequestBatcher;
  private readonly heats: HeatRecorder;
  /** Sequence number of the newest report whose answer was applied. */
  private adopted = 0;
  /** Sequence number of the newest report. */
  private sequence = 0;
  private readonly createdAt: number;
  private readonly now: () => number;

  constructor(private readonly options: IngressQuotaOptions) {
    const { clock, windowMs, onHeat, onGrantNeeded: sendReport } = options;
    this.now = () => clock.now();
    this.createdAt = clock.now();
    this.requestBatcher = new GrantRequestBatcher(clock, sendReport);
    this.heats = new HeatRecorder(windowMs, (event) => onHeat?.(event));
  }

  /** Acquires a permit for a request. The listener may be called synchronously. */
  acquire(request: PermitRequest, listener: PermitCallback): void {
    const { group, importance } = request;
    if (group.rate === undefined) {
      listener(UNLIMITED);
      return;
    }
    const entry = this.entry(group.name);
    const now = this.now();
    entry.quota.onOffered(importance, now);
    this.observeHeat(entry, now);
    this.heats.onOffered(group.name, importance);
    const permit = this.tryAcquire(entry, importance);
    if (permit !== undefined) {
      if (entry.quota.isRising(now)) this.requestGrant(entry.requestBackoff, now);
      listener(permit);
      return;
    }
    const isUrgent = entry.quota.isHot && entry.quota.suffices(importance, now);
    const isPointless = entry.quota.isHot ? !isUrgent : entry.requestBackoff.isExhausted;
    if (!isPointless) this.wait(entry, request, listener);
    this.requestGrant(isUrgent ? entry.urgentBackoff : entry.requestBackoff, now);
    if (isPointless) this.refuse(entry, importance, listener);
  }

  /** Builds the next report to control; increments the sequence number. */
  report(): QuotaReport {
    const now = this.now();
    const uses: GroupUse[] = [];
    for (const [group, entry] of this.groups) {
      const { quota } = entry;
      quota.updateHeat(now);
      this.observeHeat(entry, now);
      const waiting = quota.isHot ? entry.waiters.length : 0;
      const use = { ...quota.use(group, now), ...(waiting > 0 && { waiting }) };
      if (use.offered > 0 || use.used > 0 || use.held > 0) uses.push(use);
      else if (this.groups.size > MAX_IDLE_GROUPS) this.groups.delete(group);
    }
    this.sequence += 1;
    const { sequence, adopted } = this;
    const uptimeMs = now - this.createdAt;
    return { startedAt: this.options.startedAt, uptimeMs, sequence, adopted, uses };
  }

  /**
   * Applies the grants of a leader; ignores answers that arrive out of order.
   * @param reportedAt when the report was sent, in monotonic milliseconds
   */
  onGrants({ sequence, grants }: QuotaGrants, reportedAt: number): void {
    if (sequence <= this.adopted) return;
    this.adopted = sequence;
    for (const grant of grants) {
      const entry = this.entry(grant.group);
      entry.quota.onGrant(grant, reportedAt + QUOTA_LEASE_MS, this.now());
      this.admitWaiters(entry);
      if (entry.waiters.length > 0) this.scheduleGrantRequest(entry);
    }
  }

  /** Requests of groups at their limits. */
  heatCounts(): HeatCounts {
    return this.heats.counts();
  }

  /** The state of the group at this ingress, for a refused request. */
  state(group: string, importance: Importance): QuotaState {
    return this.groups.get(group)?.quota.state(importance, this.now()) ?? NOTHING_GRANTED;
  }

  private tryAcquire(entry: GroupEntry, importance: Importance): QuotaPermit | undefined {
    // A waiting request goes first unless the new one is more urgent.
    const [first] = entry.waiters;
    const isHot = entry.quota.isHot;
    if (isHot && first !== undefined && !comesBefore({ importance }, first)) return undefined;
    return this.take(entry, importance);
  }

  private take(entry: GroupEntry, importance: Importance): QuotaPermit | undefined {
    const { quota } = entry;
    const permit = quota.tryAcquire(importance, this.now);
    if (permit === undefined) return undefined;
    // Permits of a group at its limit are no sign that control could grant more to all its kinds.
    if (!quota.isHot) entry.requestBackoff.onPermit();
    if (!quota.isHot || quota.suffices(importance, this.now())) entry.urgentBackoff.onPermit();
    return permit;
  }

  private wait(
    entry: GroupEntry,
    { importance, maxWaitMs }: PermitRequest,
    listener: PermitCallback,
  ): void {
    const timer = this.options.clock.schedule(maxWaitMs, () => {
      entry.waiters = entry.waiters.filter((other) => other !== waiter);
      this.refuse(entry, importance, listener);
    });
    const waiter: Waiter = { importance, timer, listener };
    insertByUrgency(entry.waiters, waiter);
    this.scheduleService(entry);
  }

  private refuse(entry: GroupEntry, importance: Importance, listener: PermitCallback): void {
    this.heats.onRefused(entry.name, importance);
    listener(undefined);
  }

  private observeHeat({ name, quota }: GroupEntry, now: number): void {
    this.heats.observe({ name, isHot: quota.isHot, use: () => quota.use(name, now) }, now);
  }

  /** Passes permits to waiting requests, in order, while any are available. */
  private admitWaiters(entry: GroupEntry): void {
    while (entry.waiters.length > 0) {
      const permit = this.take(entry, entry.waiters[0]!.importance);
      if (permit === undefined) return;
      const { timer, listener } = entry.waiters.shift()!;
      timer.cancel();
      listener(permit);
    }
  }

  /** Serves the waiting requests of a hot group again when the first of them may have a permit. */
  private scheduleService(entry: GroupEntry): void {
    const [first] = entry.waiters;
    if (first === undefined || entry.isServiceDue || !entry.quota.isHot) return;
    const waitMs = entry.quota.msToPermit(first.importance, this.now());
    if (waitMs === Infinity) return;
    entry.isServiceDue = true;
    this.options.clock.schedule(Math.max(MIN_SERVICE_INTERVAL_MS, waitMs), () => {
      entry.isServiceDue = false;
      this.admitWaiters(entry);
      this.scheduleService(entry);
    });
  }

  /** Requests a larger grant for the requests that still wait, as demand may have grown since the last report. */
  private scheduleGrantRequest(entry: GroupEntry): void {
    this.options.clock.schedule(entry.requestBackoff.msToNext(this.now()), () => {
      if (entry.waiters.length > 0) this.requestGrant(entry.requestBackoff, this.now());
    });
  }

  private requestGrant(backoff: GrantRequestBackoff, now: number): void {
    if (backoff.tryRequest(now)) this.requestBatcher.request(now);
  }

  private entry(group: string): GroupEntry {
    const existing = this.groups.get(group);
    if (existing !== undefined) return existing;
    const quota = new GroupQuota(this.options.windowMs);
    const created: GroupEntry = {
      name: group,
      quota,
      requestBackoff: new GrantRequestBackoff(),
      urgentBackoff: new GrantRequestBackoff(),
      waiters: [],
      isServiceDue: false,
    };
    this.groups.set(group, created);
    return created;
  }
}

/** Whether a kind comes before another in the order of scarce permits. */
function comesBefore(
  first: Pick<Waiter, 'importance'>,
  second: Pick<Waiter, 'importance'>,
): boolean {
  return claimLevel(first) < claimLevel(second);
}

/** Inserts a waiter after all that are at least as urgent. */
function insertByUrgency(waiters: Waiter[], waiter: Waiter): void {
  let index = waiters.length;
  while (index > 0 && comesBefore(waiter, waiters[index - 1]!)) index -= 1;
  waiters.splice(index, 0, waiter);
}
