/** A clock whose time only changes when it is advanced, for deterministic tests and simulations. */
import type { Clock, Timer } from './clock.js';

class ScheduledEvent implements Timer {
  cancelled = false;

  constructor(
    readonly dueAt: number,
    readonly sequence: number,
    readonly callback: () => void,
  ) {}

  cancel(): void {
    this.cancelled = true;
  }

  /** Orders events by due time, and those with the same due time in the order in which they were scheduled. */
  isBefore(other: ScheduledEvent): boolean {
    if (this.dueAt !== other.dueAt) return this.dueAt < other.dueAt;
    return this.sequence < other.sequence;
  }
}

/** Virtual time in milliseconds, with a binary heap of scheduled events. */
export class VirtualClock implements Clock {
  private time = 0;
  private sequence = 0;
  private readonly heap: ScheduledEvent[] = [];

  now(): number {
    return this.time;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const event = new ScheduledEvent(this.time + Math.max(0, delayMs), this.sequence++, callback);
    this.push(event);
    return event;
  }

  /** Runs the events that are due up to `untilMs`, and then sets the time to `untilMs`. */
  runUntil(untilMs: number): void {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.dueAt > untilMs) break;
      this.popRoot();
      this.time = next.dueAt;
      if (!next.cancelled) next.callback();
    }
    this.time = Math.max(this.time, untilMs);
  }

  /** Advances the time by `durationMs` and runs the events that become due. */
  advance(durationMs: number): void {
    this.runUntil(this.time + durationMs);
  }

  private push(event: ScheduledEvent): void {
    const heap = this.heap;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex]!;
      if (!event.isBefore(parent)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = event;
  }

  private popRoot(): void {
    const heap = this.heap;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      if (childIndex >= heap.length) break;
      const rightIndex = childIndex + 1;
      if (rightIndex < heap.length && heap[rightIndex]!.isBefore(heap[childIndex]!)) {
        childIndex = rightIndex;
      }
      const child = heap[childIndex]!;
      if (!child.isBefore(last)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  }
}
