/**
 * Counters of the inbound or outbound calls of a process, read when metrics are scraped. The outbound side of a sidecar
 * counts by route, all others by kind. Each {@link CallStats.onStart} must be followed by one {@link CallStats.onFinish}.
 */
import type { RefusalReason } from './refusal.js';

/** Upper bounds of the buckets of the latency histogram, in milliseconds; they appear as metric labels. */
export const LATENCY_BOUNDS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000] as const;

/** Counters of one kind or route. */
export class KindStats {
  relayed = 0;
  broken = 0;
  cancelled = 0;
  readonly refused = new Map<RefusalReason, number>();
  /** Number of calls in each bucket of {@link LATENCY_BOUNDS_MS}; the last entry counts the calls above all bounds. */
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

/** Maximum number of kinds counted separately, to bound memory and the size of a scrape; further ones share one entry. */
const MAX_KINDS = 1_000;
const OTHER_KIND = 'other';

/**
 * Resolves when no call is in flight on any side. All sides are checked again after each wait: a call that starts on one
 * side while another is awaited would otherwise be aborted by the stop of the process.
 */
export async function waitUntilAllIdle(sides: readonly CallStats[]): Promise<void> {
  while (sides.some(({ inFlight }) => inFlight > 0)) {
    for (const side of sides) await side.waitUntilIdle();
  }
}

export class CallStats {
  readonly kinds = new Map<string, KindStats>();
  inFlight = 0;
  private idleListeners: (() => void)[] = [];

  /** Returns the counters of a kind; creates them on first use. */
  statsFor(name: string): KindStats {
    const existing = this.kinds.get(name);
    if (existing !== undefined) return existing;
    if (this.kinds.size >= MAX_KINDS && name !== OTHER_KIND) return this.statsFor(OTHER_KIND);
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

  /** Resolves when no call is in flight. */
  async waitUntilIdle(): Promise<void> {
    if (this.inFlight === 0) return;
    await new Promise<void>((resolve) => this.idleListeners.push(resolve));
  }
}
