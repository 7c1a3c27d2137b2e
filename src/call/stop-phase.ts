/** How far the planned stop of a sidecar has come. */
export enum StopPhase {
  Running,
  /** Not ready any more, but still taking all work: clients need a while to notice. */
  Draining,
  /** Takes no new work but calls that the target makes for what it is working on. */
  Finishing,
}

/** Parts of the time until a stopping process is killed: draining, and finishing. */
const DRAIN_PART = 0.42;
const FINISH_PART = 0.43;

/** How long each phase of a stop may take, in milliseconds. */
export interface StopTimes {
  readonly drainMs: number;
  readonly timeoutMs: number;
}

/** The times of a stop, as declared or as parts of the time until the process is killed. */
export function stopTimes(
  declared: StopTimes & { readonly graceMs?: number | undefined },
): StopTimes {
  const { drainMs, timeoutMs, graceMs } = declared;
  if (graceMs === undefined) return { drainMs, timeoutMs };
  return { drainMs: graceMs * DRAIN_PART, timeoutMs: graceMs * FINISH_PART };
}
