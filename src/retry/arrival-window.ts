/**
 * First arrivals and repeats at one gate over a sliding window of time, in steps. Owns the counts of each step; relies on
 * times that do not go back. Pure: the time is passed in.
 */
import type { WindowCounts } from './repeat-room.js';

/** Steps in which the window moves on. It covers one step more, so that no repeat is forgotten early. Not measured. */
const STEPS = 20;
const SLOTS = STEPS + 1;

export class ArrivalWindow {
  private readonly stepMs: number;
  private readonly firstsBySlot = new Float64Array(SLOTS);
  private readonly repeatsBySlot = new Float64Array(SLOTS);
  /** Number of the newest step since the origin of time. */
  private step = -Infinity;
  private firsts = 0;
  private repeats = 0;

  /** @param windowMs length of the window in milliseconds */
  constructor(windowMs: number) {
    this.stepMs = windowMs / STEPS;
  }

  /** Counts arrivals: whole ones, or how likely one is a first arrival and a repeat. A negative count takes back. */
  add(now: number, firsts: number, repeats: number): void {
    this.advance(now);
    const slot = slotIndex(this.step);
    this.firstsBySlot[slot]! += firsts;
    this.repeatsBySlot[slot]! += repeats;
    this.firsts += firsts;
    this.repeats += repeats;
  }

  /** Arrivals in the window that ends now. */
  counts(now: number): WindowCounts {
    this.advance(now);
    return { firsts: this.firsts, repeats: this.repeats };
  }

  /** Forgets the steps that have left the window. */
  private advance(now: number): void {
    const step = Math.floor(now / this.stepMs);
    const passed = Math.min(step - this.step, SLOTS);
    for (let each = 0; each < passed; each += 1) this.clear(slotIndex(step - each));
    if (passed > 0) this.step = step;
  }

  private clear(slot: number): void {
    this.firsts -= this.firstsBySlot[slot]!;
    this.repeats -= this.repeatsBySlot[slot]!;
    this.firstsBySlot[slot] = 0;
    this.repeatsBySlot[slot] = 0;
  }
}

/** Slot of the ring that holds a step, also of a negative one. */
function slotIndex(step: number): number {
  return ((step % SLOTS) + SLOTS) % SLOTS;
}
