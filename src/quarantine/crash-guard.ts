/**
 * What one sidecar does about requests that crash targets: watches its own target, tells control of crashes and of suspects
 * that ended well here, and says which requests are not to be sent to any target. Pure.
 *
 * Asked by the ingress and the gate before a request is sent, and by the gate after a connection broke. Owns the crashes
 * that are still reported, and the latest list of suspects; relies on the table in force for quarantines.
 */
import type { Clock } from '../common/clock.js';
import type { TargetReport } from '../membership/target-lease.js';
import type { Logger } from '../common/logger.js';
import type { PolicyTable } from '../policy/policy-table.js';
import { CrashWatch, type WatchedRun } from './crash-watch.js';
import { NO_SUSPECTS, type CrashNews, type CrashReport, type SuspectList } from './crash-report.js';
import { RecentAnswers } from './good-ends.js';
import { withoutCaller } from './request-fingerprint.js';

/** What a guard is made of. */
export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly target: () => TargetReport | undefined;
  readonly refusesConnections: (address: string) => Promise<boolean>;
  /** The table in force. */
  readonly table: () => PolicyTable;
  /** The incarnation has crashed. */
  readonly onDown: (incarnation: string) => void;
  /** There is something to tell control at once. */
  readonly onNews: () => void;
}

/**
 * A crash is reported for this long, in milliseconds: heartbeats are lost, and replicas restart within a second or two. Not
 * measured.
 */
const REPORT_MS = 10_000;
/** Crashes reported at once: a target that is back within 2 s can crash this often in that time. */
const MAX_REPORTED = 5;
/** A request that ended well this long before the first crash under it is not the cause either, in milliseconds. */
const ANSWER_AGE_MS = 10_000;
/** With no more requests than this in the target, each is likely enough to be the cause to not be sent on. */
const MAX_LIKELY_CAUSES = 2;
/** Fingerprints in the log line of a crash: bounds its length. */
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

  /** Crashes of the targets here since the start. */
  get crashes(): number {
    return this.crashCount;
  }

  /** A request is about to be sent to the target. */
  begin(fingerprint: string): WatchedRun {
    return this.watch.begin(fingerprint);
  }

  /** Whether the request is kept from targets. */
  isQuarantined(fingerprint: string): boolean {
    const table = this.options.table();
    if (table.quarantineCount === 0) return false;
    const isInForce = (name: string): boolean => table.quarantine(name)?.inForce === true;
    return isInForce(fingerprint) || isInForce(withoutCaller(fingerprint));
  }

  /** Whether a target that has just crashed under the request may have done so because of it. */
  isLikelyCause({ fingerprint }: WatchedRun, underWay: number): boolean {
    const request = withoutCaller(fingerprint);
    if (this.suspected.has(fingerprint) || this.suspected.has(request)) return true;
    const table = this.options.table();
    const isKnown = [fingerprint, request].some((name) => table.quarantine(name) !== undefined);
    if (isKnown) return true;
    return underWay <= MAX_LIKELY_CAUSES && !this.recentAnswers.within(fingerprint, ANSWER_AGE_MS);
  }

  /** Adopts the list of suspects of a control replica. */
  onSuspects(list: SuspectList): void {
    this.suspects = list;
    this.suspectsAt = this.options.clock.now();
    this.suspected.clear();
    for (const { fingerprint } of list.suspects) this.suspected.add(fingerprint);
    if (this.acquitted().length > 0) this.options.onNews();
  }

  /** What to tell control; undefined where there is nothing. */
  news(): CrashNews | undefined {
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
      // Reported once: the next list no longer names it.
      if (this.suspected.delete(name)) isNews = true;
    }
    if (isNews) this.options.onNews();
  }

  private onCrash(report: CrashReport): void {
    const { clock, logger, onDown } = this.options;
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
