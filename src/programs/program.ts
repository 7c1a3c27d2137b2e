/**
 * What every long-running program shares: how it is started and stopped. A program's file has one `start` function that
 * resolves once all its servers listen, and gives the program back. Owns nothing; times here are those of real timers.
 */

/** A running program. */
export interface Program<Settings = never> {
  /** Origins that the program listens on, by name, for logs and for the lab. */
  readonly origins: Readonly<Record<string, string>>;
  /** Planned stop: takes no new work, finishes what is under way, then resolves. */
  stop(): Promise<void>;
  /** Adopts what can change in the settings of a running program. */
  reload?(settings: Settings): void;
}

/** Resolves after `delayMs` milliseconds. */
export async function delay(delayMs: number): Promise<void> {
  await new Promise<void>((resolve) => setTimeout(resolve, delayMs));
}

/** Resolves with `work`, or after `timeoutMs` if that comes first. @returns whether work finished */
export async function within(work: Promise<void>, timeoutMs: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), timeoutMs);
  });
  const finished = await Promise.race([work.then(() => true), timeout]);
  clearTimeout(timer);
  return finished;
}
