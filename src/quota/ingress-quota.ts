/**
 * Bounds at one ingress how many requests of each group run in a window: by what a leader of control has granted it, which
 * all ingresses together keep within the quota of the group. Pure.
 */
import type { Clock, Timer } from '../common/clock.js';
import type { Group } from '../policy/group-table.js';
import {
  QUOTA_LEASE_MS,
  type GroupUse,
  type QuotaGrants,
  type QuotaReport,
} from './quota-messages.js';
import { SlidingCount } from './sliding-count.js';
import { rateLimitedSeconds } from '../call/retry-after.js';

/** What the quota of an ingress is made of. */
export interface IngressQuotaOptions {
  readonly clock: Clock;
  /** Start of the process, in milliseconds since 1970. */
  readonly startedAt: number;
  readonly windowMs: number;
  /** More is wanted than was granted: control is to be asked now. */
  readonly onShort: () => void;
}

/** Lets one request run within the quota of its group. */
export interface QuotaPermit {
  /** The request has surely not run: another one may run in its place. */
  release(): void;
}

/** Where a group stands at this ingress. */
export interface QuotaState {
  /** One sentence on what the group has used, may use and has asked for. */
  readonly description: string;
  /** Seconds after which a refused request of the group may get a permit. */
  readonly retryAfterSeconds: number;
}

/** Hears whether a request may run; undefined where it may not. */
export type PermitListener = (permit: QuotaPermit | undefined) => void;

/**
 * The window that is counted is longer by this part: requests run a little later than they are counted, up to the wait
 * at a gate.
 */
const WINDOW_MARGIN = 0.02;
/**
 * Control is asked for more of a group at most this often, in milliseconds; the time doubles while the answers bring no
 * permit, up to about that between heartbeats.
 */
const MIN_ASK_INTERVAL_MS = 50;
const MAX_ASK_INTERVAL_MS = 800;
/** Reports of an ingress that runs short of several groups are this far apart at least, in milliseconds. */
const MIN_GAP_MS = 20;
/** Asked less often than this for a group, control has no more to grant: its requests are refused at once. */
const EXHAUSTED_INTERVAL_MS = 400;
/** Groups that are remembered without a request in the last window. */
const MAX_IDLE_GROUPS = 1_000;
/** A request that waits for a permit. */
interface Waiter {
  readonly timer: Timer;
  readonly listener: PermitListener;
}

/** One group at this ingress. */
interface GroupState {
  /** Requests in a window that may run, until {@link validUntil}. */
  allowance: number;
  /** Monotonic milliseconds. */
  validUntil: number;
  readonly used: SlidingCount;
  /** Refused requests included. */
  readonly offered: SlidingCount;
  waiters: Waiter[];
  /** When control was last asked for more, and how long it is not asked again, in milliseconds. */
  askedAt: number;
  askIntervalMs: number;
}

const UNLIMITED: QuotaPermit = {
  release: () => {
    // The group has no limit.
  },
};

export class IngressQuota {
  private readonly groups = new Map<string, GroupState>();
  private adopted = 0;
  private sequence = 0;
  private askedAt = -Infinity;
  private isAskDue = false;
  private readonly createdAt: number;

  constructor(private readonly options: IngressQuotaOptions) {
    this.createdAt = options.clock.now();
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
    const { clock } = this.options;
    const state = this.stateOf(name);
    const now = clock.now();
    state.offered.add(now);
    const permit = this.tryAcquire(state, now);
    if (permit !== undefined) {
      state.askIntervalMs = MIN_ASK_INTERVAL_MS;
      listener(permit);
      return;
    }
    this.askForMore(state, now);
    if (state.askIntervalMs > EXHAUSTED_INTERVAL_MS) {
      listener(undefined);
      return;
    }
    const timer = clock.schedule(maxWaitMs, () => this.giveUp(state, waiter));
    const waiter: Waiter = { timer, listener };
    state.waiters.push(waiter);
  }

  /** What to tell control. */
  report(): QuotaReport {
    const now = this.options.clock.now();
    const uses: GroupUse[] = [];
    for (const [group, state] of this.groups) {
      const used = state.used.total(now);
      const offered = state.offered.total(now);
      const held = state.validUntil > now ? state.allowance : 0;
      if (offered > 0 || used > 0 || held > 0) uses.push({ group, used, offered, held });
      else if (this.groups.size > MAX_IDLE_GROUPS) this.groups.delete(group);
    }
    this.sequence += 1;
    const { sequence, adopted } = this;
    const uptimeMs = now - this.createdAt;
    return { startedAt: this.options.startedAt, uptimeMs, sequence, adopted, uses };
  }

  /** A leader has granted. @param askedAt monotonic milliseconds at which the heartbeat was sent */
  onGrants({ sequence, grants }: QuotaGrants, askedAt: number): void {
    if (sequence <= this.adopted) return;
    this.adopted = sequence;
    for (const { group, allowance } of grants) {
      const state = this.stateOf(group);
      state.allowance = allowance;
      state.validUntil = askedAt + QUOTA_LEASE_MS;
      this.letIn(state);
      if (state.waiters.length > 0) this.askAgain(state);
    }
  }

  /** Where the group stands here, to tell a refused client and the log. */
  state(group: string): QuotaState {
    const now = this.options.clock.now();
    return {
      description: this.describe(group, now),
      retryAfterSeconds: this.retryAfterSeconds(group, now),
    };
  }

  private describe(group: string, now: number): string {
    const state = this.groups.get(group);
    if (state === undefined || state.validUntil <= now) {
      return 'Control has granted it nothing here.';
    }
    const { used, offered, allowance } = state;
    return `It has used ${used.total(now)} of ${allowance} here, of ${offered.total(now)} asked for.`;
  }

  private retryAfterSeconds(group: string, now: number): number {
    const state = this.groups.get(group);
    const isGranted = state !== undefined && state.validUntil > now && state.allowance >= 1;
    return rateLimitedSeconds(isGranted ? state.used.msToNextExpiry(now) : undefined);
  }

  private tryAcquire(state: GroupState, now: number): QuotaPermit | undefined {
    const allowance = state.validUntil > now ? state.allowance : 0;
    if (state.used.total(now) + 1 > allowance) return undefined;
    const step = state.used.add(now);
    let isTaken = true;
    return {
      release: () => {
        if (isTaken) state.used.remove(step, this.options.clock.now());
        isTaken = false;
      },
    };
  }

  private letIn(state: GroupState): void {
    const now = this.options.clock.now();
    while (state.waiters.length > 0) {
      const permit = this.tryAcquire(state, now);
      if (permit === undefined) return;
      state.askIntervalMs = MIN_ASK_INTERVAL_MS;
      const { timer, listener } = state.waiters.shift()!;
      timer.cancel();
      listener(permit);
    }
  }

  private giveUp(state: GroupState, waiter: Waiter): void {
    state.waiters = state.waiters.filter((other) => other !== waiter);
    waiter.listener(undefined);
  }

  /** A surge was larger when it was granted than when control was asked: the rest of it need not wait in vain. */
  private askAgain(state: GroupState): void {
    const { clock } = this.options;
    const waitMs = Math.max(0, state.askedAt + state.askIntervalMs - clock.now());
    clock.schedule(waitMs, () => {
      if (state.waiters.length > 0) this.askForMore(state, clock.now());
    });
  }

  private askForMore(state: GroupState, now: number): void {
    if (now - state.askedAt < state.askIntervalMs) return;
    state.askedAt = now;
    state.askIntervalMs = Math.min(MAX_ASK_INTERVAL_MS, 2 * state.askIntervalMs);
    this.ask(now);
  }

  /** One report tells of all groups: those that run short within a moment share it. */
  private ask(now: number): void {
    if (this.isAskDue) return;
    const waitMs = this.askedAt + MIN_GAP_MS - now;
    if (waitMs <= 0) {
      this.askedAt = now;
      this.options.onShort();
      return;
    }
    this.isAskDue = true;
    const { clock } = this.options;
    clock.schedule(waitMs, () => {
      this.isAskDue = false;
      this.ask(clock.now());
    });
  }

  private stateOf(group: string): GroupState {
    const existing = this.groups.get(group);
    if (existing !== undefined) return existing;
    const windowMs = this.options.windowMs * (1 + WINDOW_MARGIN);
    const created: GroupState = {
      allowance: 0,
      validUntil: -Infinity,
      used: new SlidingCount(windowMs),
      offered: new SlidingCount(windowMs),
      waiters: [],
      askedAt: -Infinity,
      askIntervalMs: MIN_ASK_INTERVAL_MS,
    };
    this.groups.set(group, created);
    return created;
  }
}
