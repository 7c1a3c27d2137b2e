/**
 * Tells the crash of a gate's target from a connection that merely broke, and says which requests it was at work on. A
 * target has crashed if it refuses connections, or if another incarnation reports in place of one that had not said that
 * it leaves. Owns the runs in the target and those that were lost there lately; relies on the target's lease for which
 * incarnation is in use. Pure: the probe of the target's port is injected.
 */
import type { Clock } from '../common/clock.js';
import { incarnationName, isSameIncarnation } from '../membership/incarnation.js';
import type { TargetReport } from '../membership/target-lease.js';
import type { CrashReport } from './crash-report.js';

/** How a run of a request in the target ended. */
export enum RunEnd {
  /** With an answer of the target. */
  Answered = 'answered',
  /** The target answered with a failure of its own, or turned the request away: says nothing. */
  Failed = 'failed',
  /** Without an answer, or it broke off: the target may have crashed. */
  Lost = 'lost',
}

export interface CrashWatchOptions {
  readonly clock: Clock;
  /** The target in use; undefined while there is none. */
  readonly target: () => TargetReport | undefined;
  /** Whether the target's port refuses connections. */
  readonly refusesConnections: (address: string) => Promise<boolean>;
  /** A target has crashed. Called once for each. */
  readonly onCrash: (report: CrashReport) => void;
  /** The target has answered the request, and goes on. */
  readonly onAnswered: (fingerprint: string) => void;
}

/**
 * Runs that were lost before a crash was noticed count as under way for this long, in milliseconds: connections break some
 * milliseconds before the port refuses, and the next incarnation reports seconds later.
 */
const LOST_RUN_TTL_MS = 5_000;
/** Requests of one report; a target that works on more than this is rare, and the newest are the likeliest cause. */
const MAX_SUSPECTS = 192;
/** Incarnations that are remembered as crashed: late ends of runs ask for the latest few. */
const MAX_CRASHED = 16;

/** What became of a target after a connection to it broke. */
export interface TargetState {
  readonly isDown: boolean;
  /** Different requests that it was at work on when it ended; 0 where it is up. */
  readonly underWay: number;
}

const UP: TargetState = { isDown: false, underWay: 0 };

/** One request in the target. */
export class WatchedRun {
  constructor(
    private readonly watch: CrashWatch,
    /** Name of the target's incarnation. */
    readonly incarnation: string,
    readonly fingerprint: string,
  ) {}

  /** The run is over. Further calls do nothing. */
  end(end: RunEnd): void {
    this.watch.onEnd(this, end);
  }

  /** After a broken connection: what became of the target that worked on the request. */
  targetState(): Promise<TargetState> {
    return this.watch.stateOf(this.incarnation);
  }
}

/** A run that ended without an answer. */
interface LostRun {
  readonly run: WatchedRun;
  readonly lostAt: number;
}

export class CrashWatch {
  private readonly underWay = new Set<WatchedRun>();
  private lost: LostRun[] = [];
  /** States of incarnations that have crashed. */
  private readonly crashed = new Map<string, TargetState>();
  private last: TargetReport | undefined;
  private probe: Promise<void> | undefined;

  constructor(private readonly options: CrashWatchOptions) {}

  /** A request is about to be sent to the target. */
  begin(fingerprint: string): WatchedRun {
    const target = this.options.target();
    const incarnation = target === undefined ? '' : incarnationName(target);
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

  /** The target in use may be another one. */
  onTarget(report: TargetReport | undefined): void {
    if (report === undefined) return;
    const { last } = this;
    this.last = report;
    if (last === undefined || isSameIncarnation(last, report)) return;
    if (last.state !== 'leaving') this.onCrash(incarnationName(last));
  }

  /** What became of an incarnation, as far as its port says. */
  async stateOf(incarnation: string): Promise<TargetState> {
    const target = this.options.target();
    if (target !== undefined && incarnationName(target) === incarnation) {
      this.probe ??= this.probeTarget(target);
      await this.probe;
    }
    return this.crashed.get(incarnation) ?? UP;
  }

  private async probeTarget(target: TargetReport): Promise<void> {
    const refuses = await this.options.refusesConnections(target.address);
    const incarnation = incarnationName(target);
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

  /** Requests that were in the target when it ended, each once, the newest first. */
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
