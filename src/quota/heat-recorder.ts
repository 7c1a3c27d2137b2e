/** Records what a group at its limit asks for at an ingress and what it is refused, by importance, for log and metrics. */
import { IMPORTANCE_COUNT, type Importance } from '../policy/importance.js';
import type { GroupUse } from './quota-messages.js';

/** Numbers of requests by importance, lowest first. */
export type CountsByImportance = readonly number[];

/** A group has reached its limit at this ingress, or is within it again. */
export type HeatEvent =
  | {
      readonly type: 'at-limit';
      readonly group: string;
      /** Requests per window that may run. */
      readonly allowance: number;
      /** Requests in the last window. */
      readonly offered: number;
    }
  | {
      readonly type: 'within-limit';
      readonly group: string;
      readonly durationMs: number;
      readonly offered: CountsByImportance;
      readonly refused: CountsByImportance;
    };

/** Requests of groups at their limits since the start of the process, for metrics. */
export interface HeatCounts {
  /** Groups that are at their limits now. */
  readonly groups: number;
  readonly offered: CountsByImportance;
  readonly refused: CountsByImportance;
}

/** What is asked of a group's permits to decide whether it is at its limit. */
export interface ObservedGroup {
  readonly name: string;
  readonly isHot: boolean;
  /** Requests per window. */
  readonly use: () => Pick<GroupUse, 'held' | 'offered'>;
}

/** One time during which a group is at its limit. */
interface Heat {
  readonly startedAt: number;
  lastHotAt: number;
  readonly offered: number[];
  readonly refused: number[];
}

/** The heats of all groups at one ingress. A heat ends when its group has been within its limit for a window. */
export class HeatRecorder {
  private readonly heats = new Map<string, Heat>();
  private readonly offered = zeroCounts();
  private readonly refused = zeroCounts();

  /** @param windowMs length of the quota window, in milliseconds */
  constructor(
    private readonly windowMs: number,
    private readonly onHeat: (event: HeatEvent) => void,
  ) {}

  /** Records whether a group is at its limit; to be called with each request and each report. */
  observe({ name: group, isHot, use }: ObservedGroup, now: number): void {
    const heat = this.heats.get(group);
    if (isHot && heat !== undefined) heat.lastHotAt = now;
    else if (isHot) {
      const { held: allowance, offered } = use();
      const counts = { offered: zeroCounts(), refused: zeroCounts() };
      this.heats.set(group, { startedAt: now, lastHotAt: now, ...counts });
      this.onHeat({ type: 'at-limit', group, allowance, offered });
    } else if (heat !== undefined && now - heat.lastHotAt > this.windowMs) {
      this.heats.delete(group);
      const { offered, refused } = heat;
      const durationMs = heat.lastHotAt - heat.startedAt;
      this.onHeat({ type: 'within-limit', group, durationMs, offered, refused });
    }
  }

  onOffered(group: string, importance: Importance): void {
    const heat = this.heats.get(group);
    if (heat === undefined) return;
    heat.offered[importance]! += 1;
    this.offered[importance]! += 1;
  }

  onRefused(group: string, importance: Importance): void {
    const heat = this.heats.get(group);
    if (heat === undefined) return;
    heat.refused[importance]! += 1;
    this.refused[importance]! += 1;
  }

  counts(): HeatCounts {
    return { groups: this.heats.size, offered: this.offered, refused: this.refused };
  }
}

function zeroCounts(): number[] {
  return new Array<number>(IMPORTANCE_COUNT).fill(0);
}
