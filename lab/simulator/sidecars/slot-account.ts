/**
 * Accounts for the slots of simulated targets: for which requests each slot was held, how long the calls had waited, and
 * how the requests ended. Shows where the capacity of a service goes.
 */
import type { RequestEnd } from './client-request.js';
import type { RequestLineage } from './request-lineage.js';

/** How the run that held the slot ended. */
export type RunEnd = 'answered' | 'failed' | 'cancelled';

/** A slot held by one run. Times in virtual milliseconds. */
export interface SlotUse {
  readonly service: string;
  /** Route of the call that held the slot. */
  readonly call: string;
  readonly lineage: RequestLineage;
  /** Index of the target within its service. */
  readonly target: number;
  /** Time between the arrival of the call at the gate and its start in the target. */
  readonly waitedMs: number;
  readonly startedAt: number;
  endedAt: number;
  runEnd: RunEnd;
}

/** Slot-seconds by what they were held for. */
export interface SlotShare {
  readonly route: string;
  readonly requestEnd: RequestEnd;
  readonly runEnd: RunEnd;
  readonly isLaterAttempt: boolean;
  slotSeconds: number;
  runs: number;
  waitedMs: number;
}

const MS_PER_SECOND = 1_000;

export class SlotAccount {
  readonly uses: SlotUse[] = [];

  /** Records a run that holds a slot until {@link endUse}. */
  begin(run: Omit<SlotUse, 'endedAt' | 'runEnd'>): SlotUse {
    const use: SlotUse = { ...run, endedAt: Infinity, runEnd: 'cancelled' };
    this.record(use);
    return use;
  }

  record(use: SlotUse): void {
    this.uses.push(use);
  }

  /** Sums the slots of a service that were held between two times, largest first. */
  shares(service: string, fromMs: number, untilMs: number): SlotShare[] {
    const byKey = new Map<string, SlotShare>();
    for (const use of this.uses) {
      if (use.service !== service) continue;
      const heldMs = Math.min(use.endedAt, untilMs) - Math.max(use.startedAt, fromMs);
      if (heldMs <= 0) continue;
      const share = shareOf(byKey, use);
      share.slotSeconds += heldMs / MS_PER_SECOND;
      share.runs += 1;
      share.waitedMs += use.waitedMs;
    }
    return [...byKey.values()].sort((a, b) => b.slotSeconds - a.slotSeconds);
  }
}

/** @param now virtual milliseconds */
export function endUse(use: SlotUse, runEnd: RunEnd, now: number): void {
  use.endedAt = now;
  use.runEnd = runEnd;
}

function shareOf(byKey: Map<string, SlotShare>, { lineage, runEnd }: SlotUse): SlotShare {
  const { route, end } = lineage.request;
  const isLaterAttempt = lineage.clientAttempt > 1;
  const key = [route, end, runEnd, isLaterAttempt].join(' ');
  const existing = byKey.get(key);
  if (existing !== undefined) return existing;
  const sums = { slotSeconds: 0, runs: 0, waitedMs: 0 };
  const share: SlotShare = { route, requestEnd: end, runEnd, isLaterAttempt, ...sums };
  byKey.set(key, share);
  return share;
}
