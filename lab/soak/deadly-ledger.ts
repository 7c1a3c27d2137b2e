/**
 * Records runs of deadly requests and the crashes that they cause, and checks that a request is quarantined after a few
 * crashes. Has no clock; times are passed in, in milliseconds.
 */

/** Crashes after which a deadly request must be quarantined. */
const CRASHES_BEFORE_QUARANTINE = 3;
/** Time allowed for the quarantine to take effect, in milliseconds. */
const MAX_QUARANTINE_DELAY_MS = 3_000;
/** Runs of a deadly request that are allowed after that time. */
const MAX_LATE_RUNS = 3;

/** Times of the runs of a deadly request and of the crashes that it caused, in milliseconds. */
interface DeadlyHistory {
  readonly runsAt: number[];
  readonly crashesAt: number[];
}

export class DeadlyLedger {
  private readonly histories = new Map<string, DeadlyHistory>();

  /** A target starts to run a deadly request. */
  onRun(name: string, at: number): void {
    this.historyOf(name).runsAt.push(at);
  }

  /** A target crashes because of a deadly request. */
  onCrash(name: string, at: number): void {
    this.historyOf(name).crashesAt.push(at);
  }

  /** Whether no deadly request has run or crashed a target. */
  get isEmpty(): boolean {
    return this.histories.size === 0;
  }

  /** Number of requests that must have been quarantined. */
  get checkCount(): number {
    return [...this.histories.values()].filter((each) => quarantineDueAt(each) !== undefined)
      .length;
  }

  /** Describes each request that ran too often after its quarantine was due. */
  violations(): string[] {
    return [...this.histories].flatMap(([name, history]) => {
      const dueAt = quarantineDueAt(history);
      if (dueAt === undefined) return [];
      const late = history.runsAt.filter((at) => at > dueAt).length;
      if (late <= MAX_LATE_RUNS) return [];
      return [
        `${name} began ${late} times later than ${MAX_QUARANTINE_DELAY_MS} ms after its third crash`,
      ];
    });
  }

  private historyOf(name: string): DeadlyHistory {
    const existing = this.histories.get(name);
    if (existing !== undefined) return existing;
    const created = { runsAt: [], crashesAt: [] };
    this.histories.set(name, created);
    return created;
  }
}

/** Time from which a request must be quarantined; undefined if it has caused too few crashes. */
function quarantineDueAt({ crashesAt }: DeadlyHistory): number | undefined {
  const lastCrashAt = crashesAt[CRASHES_BEFORE_QUARANTINE - 1];
  return lastCrashAt === undefined ? undefined : lastCrashAt + MAX_QUARANTINE_DELAY_MS;
}
