/**
 * Bounds at one ingress how many requests of each group run in a window: by what a leader of control has granted it, which
 * all ingresses together keep within the quota of the group.
 *
 * Owns the groups with their permits, and the requests that wait for one. Relies on reports being sent with heartbeats and
 * when {@link IngressQuotaOptions.onShort} asks for one, and on {@link QuotaLedger} to keep the sum of all grants within the
 * quota. Pure: clock and messages come in.
 */
import type { Clock, Timer } from '../common/clock.js';
import type { Group } from '../policy/group-table.js';
import { GrantRequestBackoff, GrantRequestBatcher } from './asking-schedule.js';
import { GroupQuota, NOTHING_GRANTED, type QuotaPermit, type QuotaState } from './group-quota.js';
import {
  QUOTA_LEASE_MS,
  type GroupUse,
  type QuotaGrants,
  type QuotaReport,
} from './quota-messages.js';

export type { QuotaPermit, QuotaState } from './group-quota.js';

/** What the quota of an ingress is made of. */
export interface IngressQuotaOptions {
  readonly clock: Clock;
  /** Start of the process, in milliseconds since 1970. */
  readonly startedAt: number;
  readonly windowMs: number;
  /** More is wanted than was granted: control is to be asked now. */
  readonly onShort: () => void;
}

/** Hears whether a request may run; undefined where it may not. */
export type PermitListener = (permit: QuotaPermit | undefined) => void;

/** Groups that are remembered without a request in the last window, to bound memory. */
const MAX_IDLE_GROUPS = 1_000;

/** A request that waits for a permit. */
interface Waiter {
  readonly timer: Timer;
  readonly listener: PermitListener;
}

/** One group at this ingress. */
interface GroupEntry {
  readonly quota: GroupQuota;
  readonly requestBackoff: GrantRequestBackoff;
  /** In the order in which they came. */
  waiters: Waiter[];
}

const UNLIMITED: QuotaPermit = {
  release: () => {
    // The group has no limit.
  },
};

export class IngressQuota {
  private readonly groups = new Map<string, GroupEntry>();
  private readonly requestBatcher: GrantRequestBatcher;
  /** Newest report whose answer was adopted, and the newest that was sent. */
  private adopted = 0;
  private sequence = 0;
  private readonly createdAt: number;
  private readonly now: () => number;

  constructor(private readonly options: IngressQuotaOptions) {
    const { clock, onShort } = options;
    this.now = () => clock.now();
    this.createdAt = clock.now();
    this.requestBatcher = new GrantRequestBatcher(clock, onShort);
  }

  /**
   * Asks for the permit of a request. The listener may hear before this returns.
   * @param maxWaitMs how long the request may wait for control to grant more
   */
  acquire({ name, rate }: Group, maxWaitMs: number, listener: PermitListener): void {
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

  /** What to tell control. */
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

  /** A leader has granted. @param reportedAt monotonic milliseconds at which the heartbeat was sent */
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

  /** Where the group stands here. */
  state(group: string): QuotaState {
    return this.groups.get(group)?.quota.state(this.now()) ?? NOTHING_GRANTED;
  }

  private tryAcquire({ quota, requestBackoff }: GroupEntry): QuotaPermit | undefined {
    const permit = quota.tryAcquire(this.now);
    if (permit !== undefined) requestBackoff.onPermit();
    return permit;
  }

  private wait(entry: GroupEntry, maxWaitMs: number, listener: PermitListener): void {
    const timer = this.options.clock.schedule(maxWaitMs, () => {
      entry.waiters = entry.waiters.filter((other) => other !== waiter);
      listener(undefined);
    });
    const waiter: Waiter = { timer, listener };
    entry.waiters.push(waiter);
  }

  private admitWaiters(entry: GroupEntry): void {
    while (entry.waiters.length > 0) {
      const permit = this.tryAcquire(entry);
      if (permit === undefined) return;
      const { timer, listener } = entry.waiters.shift()!;
      timer.cancel();
      listener(permit);
    }
  }

  /** A surge was larger when it was granted than when control was asked: the rest of it need not wait in vain. */
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
