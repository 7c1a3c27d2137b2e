/**
 * Early refusal from levels: every answer tells which part of the calls below is held up, and the
 * fraction of calls that a lane sends falls while the level is above what the lane tolerates and
 * returns while it is below. One answer tells as much as many, so callers that send few calls each hold
 * back as much as one that sends all, and the less urgent lanes, which tolerate less, make room first.
 *
 * An answer tells what came of the fraction that was sent when its call began. So each answer corrects
 * that fraction and not the present one: however long calls take, the correction for one state of the
 * load is made once, and the fraction does not swing. docs/design/platform.md gives figures, and compares
 * it with {@link OverloadThrottle}, which counts refusals.
 */
import type { RandomSource } from '../common/random.js';
import type { CallThrottle, CongestionReport } from './call-throttle.js';

/** Part of the fraction at sending that full congestion takes away. Chosen in the simulation. */
const SHRINK_PART = 0.42;
/** Part by which the fraction at sending is raised where nothing below is held up. Chosen there too. */
const GROWTH_PART = 0.2;
/** Time constant with which the fraction follows what answers call for, in milliseconds. */
const APPROACH_MS = 300;
/** An answer stands for the time since the one before, but no longer than this, in milliseconds. */
const MAX_STEP_MS = 500;
/** Without answers for this long, the fraction returns by itself, in milliseconds. */
const SILENCE_MS = 1_000;
/** Rate of that return: the fraction doubles in two seconds. */
const RETURN_PER_MS = Math.LN2 / 2_000;
/** The fraction never falls below this. */
const MIN_FRACTION = 0.02;
const DEFAULT_TOLERATED = 0.15;

/** The fraction sent on one lane as of its last answer. */
interface Lane {
  fraction: number;
  answeredAt: number;
}

export class LevelThrottle implements CallThrottle {
  private readonly lanes = new Map<string, Lane>();

  constructor(private readonly random: RandomSource) {}

  admit(lane: string, now: number): boolean {
    const fraction = this.fractionAt(this.lanes.get(lane), now);
    return fraction >= 1 || this.random.next() < fraction;
  }

  onAnswer(lane: string, now: number, report: CongestionReport): void {
    const state = this.lanes.get(lane);
    const level = report.congestion ?? (report.overloaded ? 1 : 0);
    if (state === undefined) {
      if (level > 0) this.lanes.set(lane, { fraction: 1, answeredAt: now });
      return;
    }
    const stepMs = Math.min(now - state.answeredAt, MAX_STEP_MS);
    const weight = 1 - Math.exp(-stepMs / APPROACH_MS);
    const wanted = correction(level, report.tolerated) / report.pressureAtSend;
    const present = this.fractionAt(state, now);
    const fraction = present + weight * (wanted - present);
    state.answeredAt = now;
    state.fraction = Math.min(1, Math.max(MIN_FRACTION, fraction));
    if (state.fraction === 1 && level === 0) this.lanes.delete(lane);
  }

  pressure(lane: string, now: number): number {
    return 1 / this.fractionAt(this.lanes.get(lane), now);
  }

  private fractionAt(lane: Lane | undefined, now: number): number {
    if (lane === undefined) return 1;
    const silentMs = Math.max(0, now - lane.answeredAt - SILENCE_MS);
    return Math.min(1, lane.fraction * Math.exp(RETURN_PER_MS * silentMs));
  }
}

/** Factor of the fraction at sending that an answer with this level calls for. */
function correction(level: number, tolerated: number = DEFAULT_TOLERATED): number {
  if (level <= tolerated) return 1 + GROWTH_PART * (1 - level / tolerated);
  return 1 - SHRINK_PART * ((level - tolerated) / (1 - tolerated));
}
