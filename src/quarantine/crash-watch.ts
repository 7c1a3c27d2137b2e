/**
 * Distinguishes a crash of a gate's target from a broken connection, and determines which requests were in flight. A target
 * has crashed if it refuses connections, or if another incarnation replaces it without an announced shutdown.
 */
import type { Clock } from '../common/clock.js';
import type { HeldTarget } from '../membership/target-lease.js';
import type { CrashReport } from './crash-report.js';

/** How the run of a request in the target ended. */
export enum RunEnd {
  /** The target answered successfully. */
  Answered = 'answered',
  /** The target answered with an error, or the request did not reach it: neither a crash nor a success. */
  Failed = 'failed',
  /** There was no complete answer: the target may have crashed. */
  Lost = 'lost',
}

export interface CrashWatchOptions {
  readonly clock: Clock;
  /** Returns the target in use; undefined if there is none. */
  readonly target: () => HeldTarget | undefined;
  /** Whether the target's port refuses connections. */
  readonly refusesConnections: (address: string) => Promise<boolean>;
  /** Called once for each crash of a target. */
  readonly onCrash: (report: CrashReport) => void;
  /** Called when the target has answered a request successfully. */
  readonly onAnswered: (fingerprint: string) => void;
}

/**
 * How long a lost run counts as in flight, in milliseconds. Connections break before the port refuses new ones, and the
 * next incarnation may report only seconds later.
 */
const LOST_RUN_TTL_MS = 5_000;
/** Largest number of requests in one report. The newest ones are kept, as they are the most likely causes. */
const MAX_SUSPECTS = 192;
/** Largest number of crashed incarnations kept for runs that end late. */
const MAX_CRASHED = 16;

/** State of a target after a connection to it broke. */
export interface TargetState {
  readonly isDown: boolean;
  /** Number of different requests in flight when the target crashed; 0 if it is up. */
  readonly underWay: number;
}

const UP: TargetState = { isDown: false, underWay: 0 };

/** The run of one request in the target. */
export class WatchedRun {
  constructor(
    private readonly watch: CrashWatch,
    /** Name of the target's incarnation. */
    readonly incarnation: string,
    readonly fingerprint: string,
  ) {}

  /** Ends the run. Further calls do nothing. */
  end(end: RunEnd): void {
    this.watch.onEnd(this, end);
  }

  /** Checks after a broken connection whether the target that ran the request has crashed. */
  targetState(): Promise<TargetState> {
    return this.watch.stateOf(this.incarnation);
  }
}

interface LostRun {
  readonly run: WatchedRun;
  readonly lostAt: number;
}

export class CrashWatch {
  private readonly underWay = new Set<WatchedRun>();
  private lost: LostRun[] = [];
  /** States of crashed incarnations, by name. */
  private readonly crashed = new Map<string, TargetState>();
  private last: HeldTarget | undefined;
  private probe: Promise<void> | undefined;

  constructor(private readonly options: CrashWatchOptions) {}

  /** Registers a request that is about to be sent to the target. */
  begin(fingerprint: string): WatchedRun {
    const target = this.options.target();
    const incarnation = target?.incarnation ?? '';
    const run = new WatchedRun(this, incarnation, fingerprint);
    this.underWay.add(run);
    return run;
  }

  onEnd(run: WatchedRun, end: RunEnd): void {
    if (!this.underWay.delete(run)) return;
    if (end === RunEnd.Answered && run.fingerprint !== '') this.options.onAnswered(run.fingerprint);
    if (end !== RunEnd.Lost) return;
    const now = this.options.clock.now();
    this.lost = this.lost.filter(({ lostAt }) => now - lostAt < LOST_RUN_TTL_MS);
    this.lost.push({ run, lostAt: now });
  }

  /** Must be called when the target in use or its state may have changed. */
  onTarget(report: HeldTarget | undefined): void {
    if (report === undefined) return;
    const { last } = this;
    this.last = report;
    if (last === undefined || last.incarnation === report.incarnation) return;
    if (last.state !== 'leaving') this.onCrash(last.incarnation);
  }

  /** Returns the state of an incarnation. Probes its port if it is the one in use. */
  async stateOf(incarnation: string): Promise<TargetState> {
    const target = this.options.target();
    if (target?.incarnation === incarnation) {
      this.probe ??= this.probeTarget(target);
      await this.probe;
    }
    return this.crashed.get(incarnation) ?? UP;
  }

  private async probeTarget(target: HeldTarget): Promise<void> {
    const refuses = await this.options.refusesConnections(target.address);
    const { incarnation } = target;
    this.probe = undefined;
    if (refuses) this.onCrash(incarnation);
    else this.crashed.delete(incarnation);
  }

  private onCrash(incarnation: string): void {
    if (this.crashed.has(incarnation)) return;
    const fingerprints = this.requestsInTarget(incarnation);
    this.crashed.set(incarnation, { isDown: true, underWay: fingerprints.length });
    const [oldest] = this.crashed.keys();
    if (this.crashed.size > MAX_CRASHED && oldest !== undefined) this.crashed.delete(oldest);
    this.options.onCrash({ instance: incarnation, fingerprints });
  }

  /** Returns the distinct requests that were in flight when the target crashed, newest first. */
  private requestsInTarget(incarnation: string): string[] {
    const since = this.options.clock.now() - LOST_RUN_TTL_MS;
    const lost = this.lost.filter(({ lostAt }) => lostAt >= since).map(({ run }) => run);
    this.lost = [];
    const runs = [...lost, ...this.underWay]
      .filter((run) => run.incarnation === incarnation)
      .reverse();
    const fingerprints = new Set(runs.map(({ fingerprint }) => fingerprint));
    fingerprints.delete('');
    return [...fingerprints].slice(0, MAX_SUSPECTS);
  }
}
