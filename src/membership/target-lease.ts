/**
 * Tracks the target of a sidecar from the reports that the target sends. Reports may arrive late and out of order, including
 * those of an earlier incarnation.
 *
 * One incarnation holds the lease. The first matching row decides how a report is handled:
 *
 * | report                                                            | result                                      |
 * | ----------------------------------------------------------------- | ------------------------------------------- |
 * | of one that deregistered or whose address another one serves      | dropped                                     |
 * | of one that refused connections, not newer than its last report   | dropped                                     |
 * | with an earlier start time than the last holder of the lease      | recorded as the candidate, see below        |
 * | with a start time, while one of its id left without a start time  | recorded as the candidate                   |
 * | any other, while no incarnation holds the lease                   | acquires the lease                          |
 * | of the holder, older than its last report                         | dropped                                     |
 * | of the holder                                                     | renews the lease; a leaving holder stays so |
 * | of a replaced incarnation, while the holder is ready              | dropped                                     |
 * | any, while the holder is leaving or the lease has expired         | takes over the lease                        |
 * | with a later start time than the holder                           | takes over the lease                        |
 * | any other                                                         | recorded as the candidate                   |
 *
 * The second report of a candidate in order, {@link MIN_REPORT_GAP_MS} after the first and with no report of the holder in
 * between, takes over the lease: a single one may have been delayed beyond the end of its sender.
 *
 * Start times are optional. The answer to a health check is a report without one: it may be of any incarnation with its id.
 * So may a leave without one, which is that of the holder if it has the id.
 *
 * Times are those of the local clock. Start times are only compared with others of the same machine.
 */
import type { Clock } from '../common/clock.js';
import {
  incarnationName,
  isSameIncarnation,
  startedLater,
  type Incarnation,
} from './incarnation.js';
import { IncarnationSet } from './incarnation-set.js';

/** A report of a target about its own state. */
export interface TargetReport extends Incarnation {
  readonly service: string;
  /** `ADDRESS:PORT` on which the target accepts requests. */
  readonly address: string;
  /** Maximum number of requests that the target processes concurrently. */
  readonly slots: number;
  readonly state: 'ready' | 'leaving';
  /** Increases with each report of an incarnation. */
  readonly sequence: number;
  /** Remaining warm-up time after a start, in milliseconds. */
  readonly coldRemainingMs: number;
}

/** The target that holds the lease, as it last reported itself. */
export interface HeldTarget extends TargetReport {
  /** Name of the incarnation; does not change when its start time becomes known. */
  readonly incarnation: string;
}

/** The last report of the incarnation that holds the lease. */
interface HeldLease {
  readonly report: HeldTarget;
  /** When the report was received, in milliseconds on the clock. */
  readonly receivedAt: number;
  /** Whether two reports have told the start time. */
  readonly isStartConfirmed: boolean;
}

/** The first report of another incarnation that may take over the lease. */
interface Candidate {
  readonly report: TargetReport;
  readonly receivedAt: number;
}

/** Minimum interval between two reports of a running target, in milliseconds; delayed reports arrive closer together. */
const MIN_REPORT_GAP_MS = 300;

/**
 * Maximum number of incarnations recorded as ended, as replaced and as refusing connections, each. Bounds memory; needed to
 * recognize late reports.
 */
const MAX_REMEMBERED = 100;

/** The lease of a target; see the top of this file. */
export class TargetLease {
  private held: HeldLease | undefined;
  private candidate: Candidate | undefined;
  /** Incarnations that have deregistered, or whose address was served by another one. */
  private readonly ended = new IncarnationSet(MAX_REMEMBERED);
  /** Incarnations that lost the lease to another one, which may report again. */
  private readonly replaced = new IncarnationSet(MAX_REMEMBERED);
  /** Last reports of incarnations that refused connections, to ignore late reports. */
  private readonly refused = new IncarnationSet<TargetReport>(MAX_REMEMBERED);
  /** Incarnations that have held the lease, by name. */
  private readonly holders = new Map<string, Incarnation>();
  /** Start time of the last target known, in milliseconds since 1970; undefined if it did not report one. */
  private lastBorn: number | undefined;

  /**
   * @param leaseMs duration of the lease in milliseconds, the setting `targetSilentMs`
   * @param onChange called when the target, its state or its slots may have changed
   */
  constructor(
    private readonly clock: Clock,
    private readonly leaseMs: number,
    private readonly onChange: () => void,
  ) {}

  /** The last report of the holder, in any state; undefined if there is no valid lease. */
  get current(): HeldTarget | undefined {
    const { held } = this;
    if (held === undefined || this.clock.now() - held.receivedAt >= this.leaseMs) return undefined;
    return held.report;
  }

  /** Name of the incarnation that holds the lease, even if it has expired. */
  private get heldName(): string | undefined {
    return this.held?.report.incarnation;
  }

  /** Whether the target accepts new requests. */
  get isReady(): boolean {
    return this.current?.state === 'ready';
  }

  /** Whether the target has reported that it is leaving, or has deregistered. */
  get isLeaving(): boolean {
    const { held } = this;
    return held?.report.state === 'leaving';
  }

  /** Processes a report by the rules in the table above. */
  onReport(report: TargetReport): void {
    if (this.ended.has(report)) return;
    const refused = this.refused.find(report);
    if (refused !== undefined && report.sequence <= refused.sequence) return;
    const { held } = this;
    if (held === undefined) {
      if (!this.isDoubtful(report) || this.confirmsCandidate(report)) this.renew(report);
    } else if (this.isOfHolder(held, report)) this.renew(report);
    else if (this.replaced.has(report) && this.isReady) return;
    else if (this.mayTakeOver(held, report)) this.takeOver(held, report);
  }

  /** Handles a call that another incarnation answered; by now, a newer one than `name` may hold the lease. */
  onMisdirected(name: string): void {
    const incarnation = this.holders.get(name);
    if (incarnation !== undefined) this.markEnded(incarnation);
    if (this.heldName !== name) return;
    this.held = undefined;
    this.onChange();
  }

  /** Revokes the lease of an incarnation that refuses connections, so that no calls are sent to it until the next report. */
  onConnectionRefused(name: string): void {
    const { held } = this;
    if (held === undefined || this.heldName !== name) return;
    this.refused.add(held.report);
    this.held = undefined;
    // That a leaving target has ended is no reason to doubt the reports of its successor.
    if (held.report.state !== 'leaving') this.candidate = undefined;
    this.onChange();
  }

  /**
   * Handles the deregistration of a target. It applies to the holder if that may be the same incarnation. A start time that
   * only one of the two reports is that of both, so that another incarnation with the same id can still take over.
   */
  onLeave(leaving: Incarnation): void {
    const { held } = this;
    if (held !== undefined && isSameIncarnation(held.report, leaving)) {
      this.endHolder(held, leaving);
      return;
    }
    this.markEnded(leaving);
    if (held === undefined) this.lastBorn = latest(this.lastBorn, leaving.born);
    else if (isEarlierStart(held.report, leaving)) this.revoke(leaving);
  }

  private endHolder(held: HeldLease, leaving: Incarnation): void {
    const { born = held.report.born } = leaving;
    const report: HeldTarget = { ...held.report, born, state: 'leaving' };
    this.markEnded(report);
    // The one report that told the start time may have been a late one of an earlier start.
    if (!held.isStartConfirmed) this.markEnded(leaving);
    this.lastBorn = born;
    this.held = { ...held, report };
    this.onChange();
  }

  /** Revokes the lease of an earlier start of the target that leaves: it has ended, and its reports were late. */
  private revoke(leaving: Incarnation): void {
    this.lastBorn = leaving.born;
    this.held = undefined;
    this.candidate = undefined;
    this.onChange();
  }

  private renew(report: TargetReport): void {
    const before = this.held?.report;
    if (before !== undefined && report.sequence < before.sequence) return;
    // A leaving incarnation never becomes ready again.
    const state = before?.state === 'leaving' ? 'leaving' : report.state;
    const born = report.born ?? before?.born;
    const incarnation = before?.incarnation ?? incarnationName(report);
    this.held = {
      report: { ...report, state, born, incarnation },
      receivedAt: this.clock.now(),
      isStartConfirmed: born !== undefined && before?.born === born,
    };
    this.rememberHolder(incarnation, { instance: report.instance, born });
    this.lastBorn = born;
    // The one that left without a start time was another incarnation.
    if (born !== undefined) this.ended.delete({ instance: report.instance });
    this.candidate = undefined;
    this.onChange();
  }

  /** Whether another incarnation may take over the lease; records it as the candidate if not. */
  private mayTakeOver(held: HeldLease, report: TargetReport): boolean {
    const isVacant = held.report.state === 'leaving' || this.current === undefined;
    const isDue = isVacant || startedLater(report, held.report);
    return (isDue && !this.isDoubtful(report)) || this.confirmsCandidate(report);
  }

  private isOfHolder(held: HeldLease, report: TargetReport): boolean {
    return isSameIncarnation(held.report, report) && !this.mayHaveLeft(report);
  }

  /** Whether a report may have been delayed beyond the end of its sender. */
  private isDoubtful(report: TargetReport): boolean {
    return this.startedBeforeLastHolder(report) || this.mayHaveLeft(report);
  }

  /** Whether a report with a start time may be of an incarnation that is leaving or has left without telling its own. */
  private mayHaveLeft({ instance, born }: TargetReport): boolean {
    if (born === undefined) return false;
    if (this.ended.hasUndated(instance)) return true;
    const held = this.held?.report;
    return held?.instance === instance && held.born === undefined && held.state === 'leaving';
  }

  private startedBeforeLastHolder({ born }: TargetReport): boolean {
    return born !== undefined && this.lastBorn !== undefined && born < this.lastBorn;
  }

  /** Whether a report follows an earlier one of the candidate; if not, its sender may become the candidate. */
  private confirmsCandidate(report: TargetReport): boolean {
    const { candidate } = this;
    const receivedAt = this.clock.now();
    if (candidate !== undefined && isSameStart(candidate.report, report)) {
      const isApart = receivedAt - candidate.receivedAt >= MIN_REPORT_GAP_MS;
      return isApart && report.sequence > candidate.report.sequence;
    }
    // Late reports of earlier starts must not keep the candidate from its second report.
    const isOutdated =
      candidate !== undefined &&
      startedLater(candidate.report, report) &&
      receivedAt - candidate.receivedAt < this.leaseMs;
    if (!isOutdated) this.candidate = { report, receivedAt };
    return false;
  }

  private takeOver(held: HeldLease, report: TargetReport): void {
    this.replaced.add(held.report);
    this.replaced.delete(report);
    this.held = undefined;
    this.renew(report);
  }

  private rememberHolder(name: string, incarnation: Incarnation): void {
    this.holders.set(name, incarnation);
    if (this.holders.size <= MAX_REMEMBERED) return;
    const [oldest] = this.holders.keys();
    if (oldest !== undefined) this.holders.delete(oldest);
  }

  private markEnded(incarnation: Incarnation): void {
    this.ended.add(incarnation);
    this.replaced.delete(incarnation);
    // Its reports until now no longer confirm that it is running.
    if (this.candidate?.report.instance === incarnation.instance) this.candidate = undefined;
  }
}

function isSameStart(first: Incarnation, second: Incarnation): boolean {
  return incarnationName(first) === incarnationName(second);
}

/** Whether both are starts of one target, and the second is the later one. */
function isEarlierStart(first: Incarnation, second: Incarnation): boolean {
  return first.instance === second.instance && startedLater(second, first);
}

/** Returns the later of two start times in milliseconds since 1970, each of which may be unknown. */
function latest(first: number | undefined, second: number | undefined): number | undefined {
  return first === undefined || second === undefined ? (first ?? second) : Math.max(first, second);
}
