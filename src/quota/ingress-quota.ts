/**
 * Enforces the quotas of groups at one ingress: limits the requests of each group per window to the grant of the leader of
 * control, which keeps the sum of all grants within the quota of the group. Requests may wait for a larger grant.
 * Reports are sent with each heartbeat and whenever {@link IngressQuotaOptions.onGrantNeeded} is called.
 */
import type { Clock, Timer } from '../common/clock.js';
import type { Group } from '../policy/group-table.js';
import { GrantRequestBackoff, GrantRequestBatcher } from './grant-request-schedule.js';
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
}

/** Receives the permit of a request, or undefined if the request may not run. */
export type PermitCallback = (permit: QuotaPermit | undefined) => void;

/** Number of groups above which idle ones are evicted, to bound memory. */
const MAX_IDLE_GROUPS = 1_000;

/** A request that waits for a permit. */
interface Waiter {
  readonly timer: Timer;
  readonly listener: PermitCallback;
}

/** One group at this ingress. */
interface GroupEntry {
  readonly quota: GroupQuota;
  readonly requestBackoff: GrantRequestBackoff;
  /** In order of arrival. */
  waiters: Waiter[];
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
  /** Sequence number of the newest report whose answer was applied. */
  private adopted = 0;
  /** Sequence number of the newest report. */
  private sequence = 0;
  private readonly createdAt: number;
  private readonly now: () => number;

  constructor(private readonly options: IngressQuotaOptions) {
    const { clock, onGrantNeeded: sendReport } = options;
    this.now = () => clock.now();
    this.createdAt = clock.now();
    this.requestBatcher = new GrantRequestBatcher(clock, sendReport);
  }

  /**
   * Acquires a permit for a request. The listener may be called synchronously.
   * @param maxWaitMs how long the request may wait for a larger grant, in milliseconds
   */
  acquire({ name, rate }: Group, maxWaitMs: number, listener: PermitCallback): void {
    if (rate === undefined) {
      listener(UNLIMITED);
      return;
    }
    const entry = this.entry(name);
    const now = this.now();
    entry.quota.onOffered(now);
    const permit = this.tryAcquire(entry);
    if (permit !== undefined) {
      listener(permit);
      return;
    }
    this.requestGrant(entry, now);
    if (entry.requestBackoff.isExhausted) listener(undefined);
    else this.wait(entry, maxWaitMs, listener);
  }

  /** Builds the next report to control; increments the sequence number. */
  report(): QuotaReport {
    const now = this.now();
    const uses: GroupUse[] = [];
    for (const [group, { quota }] of this.groups) {
      const use = quota.use(group, now);
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
    for (const { group, allowance } of grants) {
      const entry = this.entry(group);
      entry.quota.onGrant(allowance, reportedAt + QUOTA_LEASE_MS);
      this.admitWaiters(entry);
      if (entry.waiters.length > 0) this.scheduleGrantRequest(entry);
    }
  }

  /** The state of the group at this ingress. */
  state(group: string): QuotaState {
    return this.groups.get(group)?.quota.state(this.now()) ?? NOTHING_GRANTED;
  }

  private tryAcquire({ quota, requestBackoff }: GroupEntry): QuotaPermit | undefined {
    const permit = quota.tryAcquire(this.now);
    if (permit !== undefined) requestBackoff.onPermit();
    return permit;
  }

  private wait(entry: GroupEntry, maxWaitMs: number, listener: PermitCallback): void {
    const timer = this.options.clock.schedule(maxWaitMs, () => {
      entry.waiters = entry.waiters.filter((other) => other !== waiter);
      listener(undefined);
    });
    const waiter: Waiter = { timer, listener };
    entry.waiters.push(waiter);
  }

  /** Passes permits to waiting requests, in order, while any are available. */
  private admitWaiters(entry: GroupEntry): void {
    while (entry.waiters.length > 0) {
      const permit = this.tryAcquire(entry);
      if (permit === undefined) return;
      const { timer, listener } = entry.waiters.shift()!;
      timer.cancel();
      listener(permit);
    }
  }

  /** Requests a larger grant for the requests that still wait, as demand may have grown since the last report. */
  private scheduleGrantRequest(entry: GroupEntry): void {
    this.options.clock.schedule(entry.requestBackoff.msToNext(this.now()), () => {
      if (entry.waiters.length > 0) this.requestGrant(entry, this.now());
    });
  }

  private requestGrant({ requestBackoff }: GroupEntry, now: number): void {
    if (requestBackoff.tryRequest(now)) this.requestBatcher.request(now);
  }

  private entry(group: string): GroupEntry {
    const existing = this.groups.get(group);
    if (existing !== undefined) return existing;
    const quota = new GroupQuota(this.options.windowMs);
    const created: GroupEntry = { quota, requestBackoff: new GrantRequestBackoff(), waiters: [] };
    this.groups.set(group, created);
    return created;
  }
}
