/**
 * Protects targets from requests that crash them, in one sidecar: reports crashes of its target and suspects that succeeded
 * there to control, and decides which requests must not be sent to any target. The ingress and the gate ask it before they
 * send a request, the gate also after a connection broke.
 */
import type { Clock } from '../common/clock.js';
import type { HeldTarget } from '../membership/target-lease.js';
import type { Logger } from '../common/logger.js';
import type { PolicyTable } from '../policy/policy-table.js';
import { CrashWatch, type WatchedRun } from './crash-watch.js';
import {
  NO_SUSPECTS,
  type CrashUpdate,
  type CrashReport,
  type SuspectList,
} from './crash-report.js';
import { RecentAnswers } from './recent-answers.js';
import { withoutCaller } from './request-fingerprint.js';

export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly target: () => HeldTarget | undefined;
  readonly refusesConnections: (address: string) => Promise<boolean>;
  /** Returns the policy table in force, which contains the quarantines. */
  readonly table: () => PolicyTable;
  /** Called when a target has crashed, with the name of its incarnation. */
  readonly onTargetCrash: (incarnation: string) => void;
  /** Called when there is something to report to control at once. */
  readonly onUpdate: () => void;
}

/** How long a crash is reported, in milliseconds. Covers lost heartbeats and restarts of control replicas. */
const REPORT_MS = 10_000;
/** Largest number of crashes in one report. */
const MAX_REPORTED = 5;
/** A request that succeeded within this many milliseconds before the first crash under it is not the cause either. */
const ANSWER_AGE_MS = 10_000;
/** If at most this many requests were in the target, each is a likely cause and is not sent to another target. */
const MAX_LIKELY_CAUSES = 2;
/** Largest number of fingerprints in the log line of a crash. */
const MAX_LOGGED = 8;

interface ReportedCrash {
  readonly report: CrashReport;
  readonly at: number;
}

export class CrashGuard {
  readonly watch: CrashWatch;
  private readonly recentAnswers: RecentAnswers;
  private reported: ReportedCrash[] = [];
  private crashCount = 0;
  private suspects = NO_SUSPECTS;
  private suspectsAt = 0;
  private readonly suspected = new Set<string>();

  constructor(private readonly options: CrashGuardOptions) {
    const { clock, target, refusesConnections } = options;
    this.recentAnswers = new RecentAnswers(clock);
    this.watch = new CrashWatch({
      clock,
      target,
      refusesConnections,
      onCrash: (report) => this.onCrash(report),
      onAnswered: (fingerprint) => this.onAnswered(fingerprint),
    });
  }

  /** Number of crashes of this sidecar's targets since it started. */
  get crashes(): number {
    return this.crashCount;
  }

  /** Registers a request that is about to be sent to the target. */
  begin(fingerprint: string): WatchedRun {
    return this.watch.begin(fingerprint);
  }

  /** Whether the request must not be sent to any target. */
  isQuarantined(fingerprint: string): boolean {
    const table = this.options.table();
    if (table.quarantineCount === 0) return false;
    const isInForce = (name: string): boolean => table.getQuarantine(name)?.inForce === true;
    return isInForce(fingerprint) || isInForce(withoutCaller(fingerprint));
  }

  /**
   * Whether the request may have caused the crash of the target that it was in.
   * @param underWay number of different requests that were in the target
   */
  isLikelyCause({ fingerprint }: WatchedRun, underWay: number): boolean {
    const request = withoutCaller(fingerprint);
    if (this.suspected.has(fingerprint) || this.suspected.has(request)) return true;
    const table = this.options.table();
    const isKnown = [fingerprint, request].some((name) => table.getQuarantine(name) !== undefined);
    if (isKnown) return true;
    return underWay <= MAX_LIKELY_CAUSES && !this.recentAnswers.within(fingerprint, ANSWER_AGE_MS);
  }

  /** Replaces the list of suspects by that of a control replica. */
  onSuspects(list: SuspectList): void {
    this.suspects = list;
    this.suspectsAt = this.options.clock.now();
    this.suspected.clear();
    for (const { fingerprint } of list.suspects) this.suspected.add(fingerprint);
    if (this.acquitted().length > 0) this.options.onUpdate();
  }

  /** Returns what to report to control; undefined if there is nothing. */
  pendingUpdate(): CrashUpdate | undefined {
    const since = this.options.clock.now() - REPORT_MS;
    this.reported = this.reported.filter(({ at }) => at >= since);
    const crashes = this.reported.map(({ report }) => report);
    const acquitted = this.acquitted();
    return crashes.length + acquitted.length === 0 ? undefined : { crashes, acquitted };
  }

  private acquitted(): string[] {
    const heldMs = this.options.clock.now() - this.suspectsAt;
    return this.suspects.suspects
      .filter(({ fingerprint, firstCrashAgoMs }) =>
        this.recentAnswers.within(fingerprint, firstCrashAgoMs + heldMs + ANSWER_AGE_MS),
      )
      .map(({ fingerprint }) => fingerprint);
  }

  private onAnswered(fingerprint: string): void {
    let isNews = false;
    for (const name of [fingerprint, withoutCaller(fingerprint)]) {
      this.recentAnswers.add(name);
      // Only the first success is announced: the next list no longer contains the request.
      if (this.suspected.delete(name)) isNews = true;
    }
    if (isNews) this.options.onUpdate();
  }

  private onCrash(report: CrashReport): void {
    const { clock, logger, onTargetCrash: onDown } = this.options;
    const { instance, fingerprints } = report;
    this.crashCount += 1;
    const named = fingerprints.slice(0, MAX_LOGGED);
    const underWay = fingerprints.length;
    logger.warn('The target has crashed.', { instance, underWay, fingerprints: named });
    if (underWay > 0)
      this.reported = [...this.reported.slice(1 - MAX_REPORTED), { report, at: clock.now() }];
    onDown(instance);
  }
}
