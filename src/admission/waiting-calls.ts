/**
 * The calls that wait at a node, by group, rank of the caller and importance. Within each, the one that must be let in
 * first comes first; calls without a bound of their own stay in the order in which they came.
 */
import { IMPORTANCE_COUNT, type Importance } from '../policy/importance.js';
import type { GroupUsage } from './group-usage.js';
import type { SharingCandidate, SharingOrder } from './sharing-policy.js';

/** A call that waits. */
export interface WaitingCall {
  readonly group: string;
  readonly importance: Importance;
  /** Rank of the caller's group, 0 the most urgent. */
  readonly groupRank: number;
  /** Monotonic milliseconds until which it waits, where the call brought a bound of its own. */
  readonly waitUntil?: number | undefined;
}

/** Everything a node keeps about one group. */
export class GroupState<Call extends WaitingCall> {
  /** Calls by the rank of the caller's group, then by importance. */
  private readonly waiting = new Map<number, Call[][]>();
  waitingCount = 0;

  constructor(
    readonly name: string,
    readonly usage: GroupUsage,
  ) {}

  /** The calls that wait with this rank and importance. */
  calls({ groupRank, importance }: Pick<Call, 'groupRank' | 'importance'>): Call[] {
    let ofRank = this.waiting.get(groupRank);
    if (ofRank === undefined) {
      ofRank = Array.from({ length: IMPORTANCE_COUNT }, () => []);
      this.waiting.set(groupRank, ofRank);
    }
    return ofRank[importance]!;
  }

  /** Ranks and importances with at least one call that waits. */
  *queues(): Iterable<{ groupRank: number; importance: Importance; calls: Call[] }> {
    for (const [groupRank, ofRank] of this.waiting) {
      for (const [importance, calls] of ofRank.entries()) {
        if (calls.length > 0) yield { groupRank, importance: importance as Importance, calls };
      }
    }
  }
}

/** One group and importance with at least one waiting call. */
interface Queue<Call extends WaitingCall> extends SharingCandidate {
  readonly calls: Call[];
  readonly state: GroupState<Call>;
}

/** How much of its share a group uses, given the calls to count besides those in the target. */
export type ShareUseOf<Call extends WaitingCall> = (
  state: GroupState<Call>,
  extraCalls: number,
) => number;

/** Waiting calls of all groups, and the choice of the next to let in or to refuse. */
export class WaitingCalls<Call extends WaitingCall> {
  private readonly groups = new Map<string, GroupState<Call>>();
  private total = 0;

  constructor(
    private readonly order: SharingOrder,
    private readonly shareUseOf: ShareUseOf<Call>,
    private readonly createUsage: () => GroupUsage,
  ) {}

  /** Number of waiting calls. */
  get size(): number {
    return this.total;
  }

  /** The state of a group, made when it is first seen. */
  group(name: string): GroupState<Call> {
    let state = this.groups.get(name);
    if (state === undefined) {
      state = new GroupState<Call>(name, this.createUsage());
      this.groups.set(name, state);
    }
    return state;
  }

  add(call: Call): void {
    const state = this.group(call.group);
    insertByExpiry(state.calls(call), call);
    state.waitingCount += 1;
    this.total += 1;
  }

  /** Removes a call that waits; false when it does not. */
  remove(call: Call): boolean {
    const state = this.group(call.group);
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
  takeLast(): Call | undefined {
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
   * @param countWaiting whether the calls that wait count towards their group's use: when choosing
   *   whom to refuse they do, so that a group is judged by what it asks for
   */
  private *queues(countWaiting: boolean): Iterable<Queue<Call>> {
    for (const state of this.groups.values()) {
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
