/**
 * Queue of the calls that wait for a slot, by share class, group rank and importance. Within each of these, calls are ordered
 * by the end of their wait; calls without their own `waitUntil` are in order of arrival.
 */
import { IMPORTANCE_COUNT, type Importance } from '../policy/importance.js';
import type { ShareClassUsage } from './share-class-usage.js';
import type { SharingCandidate, SharingOrder } from './sharing-policy.js';

/** A call in the queue. */
export interface WaitingCall {
  /** Class whose calls together are entitled to a share of the target's slots. */
  readonly shareClass: string;
  readonly importance: Importance;
  /** Rank of the caller's group, 0 the most urgent. */
  readonly groupRank: number;
  /** Monotonic milliseconds until which the call may wait; undefined if the call does not specify it. */
  readonly waitUntil?: number | undefined;
}

/** Waiting calls and slot usage of one share class. */
export class ShareClassState<Call extends WaitingCall> {
  /** Waiting calls by group rank, then by importance. */
  private readonly waiting = new Map<number, Call[][]>();
  waitingCount = 0;

  constructor(
    readonly name: string,
    readonly usage: ShareClassUsage,
  ) {}

  /** The waiting calls with this rank and importance. */
  calls({ groupRank, importance }: Pick<Call, 'groupRank' | 'importance'>): Call[] {
    let byImportance = this.waiting.get(groupRank);
    if (byImportance === undefined) {
      byImportance = Array.from({ length: IMPORTANCE_COUNT }, () => []);
      this.waiting.set(groupRank, byImportance);
    }
    return byImportance[importance]!;
  }

  /** Combinations of rank and importance with at least one waiting call. */
  *queues(): Iterable<{ groupRank: number; importance: Importance; calls: Call[] }> {
    for (const [groupRank, byImportance] of this.waiting) {
      for (const [importance, calls] of byImportance.entries()) {
        if (calls.length > 0) yield { groupRank, importance: importance as Importance, calls };
      }
    }
  }
}

/** The waiting calls of one share class, rank and importance; not empty. */
interface Queue<Call extends WaitingCall> extends SharingCandidate {
  readonly calls: Call[];
  readonly state: ShareClassState<Call>;
}

/** Usage of a class relative to its share. @param extraCalls calls to count in addition to those in flight */
export type ShareUseOf<Call extends WaitingCall> = (
  state: ShareClassState<Call>,
  extraCalls: number,
) => number;

/** The queue of a target; selects the next call to admit or to refuse. */
export class WaitingCalls<Call extends WaitingCall> {
  private readonly shareClasses = new Map<string, ShareClassState<Call>>();
  private total = 0;

  constructor(
    private readonly order: SharingOrder,
    private readonly shareUseOf: ShareUseOf<Call>,
    private readonly createUsage: () => ShareClassUsage,
  ) {}

  get size(): number {
    return this.total;
  }

  /** The state of a share class, created on first use. */
  shareClass(name: string): ShareClassState<Call> {
    let state = this.shareClasses.get(name);
    if (state === undefined) {
      state = new ShareClassState<Call>(name, this.createUsage());
      this.shareClasses.set(name, state);
    }
    return state;
  }

  add(call: Call): void {
    const state = this.shareClass(call.shareClass);
    insertByExpiry(state.calls(call), call);
    state.waitingCount += 1;
    this.total += 1;
  }

  /** Removes a call; returns false if it is not in the queue. */
  remove(call: Call): boolean {
    const state = this.shareClass(call.shareClass);
    const calls = state.calls(call);
    const index = calls.indexOf(call);
    if (index < 0) return false;
    calls.splice(index, 1);
    state.waitingCount -= 1;
    this.total -= 1;
    return true;
  }

  /** Removes and returns the call to admit next. */
  takeNext(): Call | undefined {
    let best: Queue<Call> | undefined;
    for (const queue of this.queues(false)) {
      if (best === undefined || this.order(queue, best) < 0) best = queue;
    }
    const call = best?.calls[0];
    if (call !== undefined) this.remove(call);
    return call;
  }

  /** Removes and returns the call to refuse first: the last call of the queue that comes last in the sharing order. */
  takeLowestPriority(): Call | undefined {
    let worst: Queue<Call> | undefined;
    for (const queue of this.queues(true)) {
      if (worst === undefined || this.order(queue, worst) > 0) worst = queue;
    }
    const call = worst?.calls.at(-1);
    if (call !== undefined) this.remove(call);
    return call;
  }

  /**
   * Yields the queues that are not empty.
   * @param countWaiting whether waiting calls count towards the usage of their class; true when a call to refuse is
   *   selected, so that the classes with the highest demand are refused first
   */
  private *queues(countWaiting: boolean): Iterable<Queue<Call>> {
    for (const state of this.shareClasses.values()) {
      if (state.waitingCount === 0) continue;
      const shareUse = this.shareUseOf(state, countWaiting ? state.waitingCount : 0);
      for (const queue of state.queues()) yield { ...queue, shareUse, state };
    }
  }
}

/** Inserts `call` after all calls whose wait ends at the same time or earlier. */
function insertByExpiry<Call extends WaitingCall>(calls: Call[], call: Call): void {
  let index = calls.length;
  const { waitUntil } = call;
  if (waitUntil !== undefined) {
    while (index > 0 && (calls[index - 1]!.waitUntil ?? -Infinity) > waitUntil) index -= 1;
  }
  calls.splice(index, 0, call);
}
