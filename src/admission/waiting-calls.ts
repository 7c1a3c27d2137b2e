/**
 * The calls that wait at a node, by share class, rank of the caller's group and importance. Within each, the one that must be let in
 * first comes first; calls without a bound of their own stay in the order in which they came.
 */
import { IMPORTANCE_COUNT, type Importance } from '../policy/importance.js';
import type { ShareClassUsage } from './share-class-usage.js';
import type { SharingCandidate, SharingOrder } from './sharing-policy.js';

/** A call that waits. */
export interface WaitingCall {
  /** The class of calls that it shares the slots of the target with. */
  readonly shareClass: string;
  readonly importance: Importance;
  /** Rank of the caller's group, 0 the most urgent. */
  readonly groupRank: number;
  /** Monotonic milliseconds until which it waits, where the call brought a bound of its own. */
  readonly waitUntil?: number | undefined;
}

/** Everything that is kept about one share class. */
export class ShareClassState<Call extends WaitingCall> {
  /** Calls by the rank of the caller's group, then by importance. */
  private readonly waiting = new Map<number, Call[][]>();
  waitingCount = 0;

  constructor(
    readonly name: string,
    readonly usage: ShareClassUsage,
  ) {}

  /** The calls that wait with this rank and importance. */
  calls({ groupRank, importance }: Pick<Call, 'groupRank' | 'importance'>): Call[] {
    let byImportance = this.waiting.get(groupRank);
    if (byImportance === undefined) {
      byImportance = Array.from({ length: IMPORTANCE_COUNT }, () => []);
      this.waiting.set(groupRank, byImportance);
    }
    return byImportance[importance]!;
  }

  /** Ranks and importances with at least one call that waits. */
  *queues(): Iterable<{ groupRank: number; importance: Importance; calls: Call[] }> {
    for (const [groupRank, byImportance] of this.waiting) {
      for (const [importance, calls] of byImportance.entries()) {
        if (calls.length > 0) yield { groupRank, importance: importance as Importance, calls };
      }
    }
  }
}

/** One share class, rank and importance with at least one waiting call. */
interface Queue<Call extends WaitingCall> extends SharingCandidate {
  readonly calls: Call[];
  readonly state: ShareClassState<Call>;
}

/** How much of its share a class uses, given the calls to count besides those in the target. */
export type ShareUseOf<Call extends WaitingCall> = (
  state: ShareClassState<Call>,
  extraCalls: number,
) => number;

/** Waiting calls of all share classes, and the choice of the next to let in or to refuse. */
export class WaitingCalls<Call extends WaitingCall> {
  private readonly shareClasses = new Map<string, ShareClassState<Call>>();
  private total = 0;

  constructor(
    private readonly order: SharingOrder,
    private readonly shareUseOf: ShareUseOf<Call>,
    private readonly createUsage: () => ShareClassUsage,
  ) {}

  /** Number of waiting calls. */
  get size(): number {
    return this.total;
  }

  /** The state of a share class, made when it is first seen. */
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

  /** Removes a call that waits; false when it does not. */
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

  /** Takes out the call that is to be let in next. */
  takeNext(): Call | undefined {
    let best: Queue<Call> | undefined;
    for (const queue of this.queues(false)) {
      if (best === undefined || this.order(queue, best) < 0) best = queue;
    }
    const call = best?.calls[0];
    if (call !== undefined) this.remove(call);
    return call;
  }

  /** Takes out the call that is to be refused first: the newest of the last queue. */
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
   * The queues with waiting calls.
   * @param countWaiting whether the calls that wait count towards their class's use: when choosing
   *   whom to refuse they do, so that a class is judged by what it asks for
   */
  private *queues(countWaiting: boolean): Iterable<Queue<Call>> {
    for (const state of this.shareClasses.values()) {
      if (state.waitingCount === 0) continue;
      const shareUse = this.shareUseOf(state, countWaiting ? state.waitingCount : 0);
      for (const queue of state.queues()) yield { ...queue, shareUse, state };
    }
  }
}

/** Inserts after every call whose wait ends no later. */
function insertByExpiry<Call extends WaitingCall>(calls: Call[], call: Call): void {
  let index = calls.length;
  const { waitUntil } = call;
  if (waitUntil !== undefined) {
    while (index > 0 && (calls[index - 1]!.waitUntil ?? -Infinity) > waitUntil) index -= 1;
  }
  calls.splice(index, 0, call);
}
