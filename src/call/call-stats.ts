/**
 * Plain counters of the calls of one side of a process: the outbound side of a sidecar counts by route, all others by kind.
 *
 * Owns the counts, and who waits for the side to be idle. Relies on one {@link CallStats.onFinish} for each
 * {@link CallStats.onStart}. Metrics read it when they are scraped.
 */
import type { RefusalReason } from './refusal.js';

/** Upper bounds in milliseconds of the latency histogram; part of the metrics' labels. */
export const LATENCY_BOUNDS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000] as const;

/** Counts of one kind or route. */
export class KindStats {
  relayed = 0;
  broken = 0;
  cancelled = 0;
  readonly refused = new Map<RefusalReason, number>();
  /** Calls by the first bound that their latency does not exceed; the last entry is the rest. */
  readonly latencyCounts: number[] = new Array<number>(LATENCY_BOUNDS_MS.length + 1).fill(0);
  latencySumMs = 0;

  onLatency(latencyMs: number): void {
    const index = LATENCY_BOUNDS_MS.findIndex((bound) => latencyMs <= bound);
    const bucket = index < 0 ? LATENCY_BOUNDS_MS.length : index;
    this.latencyCounts[bucket] = this.latencyCounts[bucket]! + 1;
    this.latencySumMs += latencyMs;
  }

  onRefused(reason: RefusalReason): void {
    this.refused.set(reason, (this.refused.get(reason) ?? 0) + 1);
  }
}

/** Most kinds that are counted separately, to bound memory and the size of a scrape; the rest share one entry. */
const MAX_KINDS = 1_000;
const OTHER_KIND = 'other';

/**
 * Resolves at a moment at which no call is under way on any side: a call may begin on one side while another one is
 * waited for, and calls that began unseen were cut by stops.
 */
export async function allIdle(sides: readonly CallStats[]): Promise<void> {
  while (sides.some(({ inFlight }) => inFlight > 0)) {
    for (const side of sides) await side.idle();
  }
}

export class CallStats {
  readonly kinds = new Map<string, KindStats>();
  /** Calls under way. */
  inFlight = 0;
  private idleListeners: (() => void)[] = [];

  /** The counts of a kind, made when it is first seen. */
  kind(name: string): KindStats {
    const existing = this.kinds.get(name);
    if (existing !== undefined) return existing;
    if (this.kinds.size >= MAX_KINDS && name !== OTHER_KIND) return this.kind(OTHER_KIND);
    const stats = new KindStats();
    this.kinds.set(name, stats);
    return stats;
  }

  onStart(): void {
    this.inFlight += 1;
  }

  onFinish(): void {
    this.inFlight -= 1;
    if (this.inFlight > 0) return;
    const listeners = this.idleListeners;
    this.idleListeners = [];
    for (const listener of listeners) listener();
  }

  /** Resolves when no call is under way. */
  async idle(): Promise<void> {
    if (this.inFlight === 0) return;
    await new Promise<void>((resolve) => this.idleListeners.push(resolve));
  }
}
