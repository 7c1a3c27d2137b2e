/** The interface of long-running programs, and helpers for their stop. */

import type { StopSettings } from '../call/stop-phase.js';

/** A running program, as returned by its `start` function once all its servers listen. */
export interface Program<Settings = never> {
  /** Origins that the program listens on, by server name. */
  readonly origins: Readonly<Record<string, string>>;
  /**
   * Graceful stop: accepts no new work, waits for work in flight, then resolves.
   * @param limits override those of the settings
   */
  stop(limits?: StopSettings): Promise<void>;
  /** Applies the settings that can change while the program runs. */
  reload?(settings: Settings): void;
}

/** Resolves after `delayMs` milliseconds. */
export async function delay(delayMs: number): Promise<void> {
  await new Promise<void>((resolve) => setTimeout(resolve, delayMs));
}

/** Waits for `work`, at most `timeoutMs` milliseconds. @returns whether `work` finished in time */
export async function finishesWithin(work: Promise<void>, timeoutMs: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), timeoutMs);
  });
  const finished = await Promise.race([work.then(() => true), timeout]);
  clearTimeout(timer);
  return finished;
}
