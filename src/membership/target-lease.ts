/**
 * What a sidecar knows of its target, from the reports that the target sends. Reports may come late and out of order, also
 * those of an earlier incarnation. Pure.
 *
 * A report renews the lease of its incarnation, or takes it over from the one that holds it. The first row that fits
 * decides:
 *
 * | report                                                          | what becomes of it                              |
 * | --------------------------------------------------------------- | ----------------------------------------------- |
 * | of an incarnation that has ended: it left, or was not found     | dropped                                         |
 * | of one that refused connections, no newer than its last report  | dropped                                         |
 * | there is no holder                                              | becomes the holder                              |
 * | of the holder, older than its last one                          | dropped                                         |
 * | of the holder                                                   | renews; a holder that leaves stays leaving      |
 * | of one that was replaced, while the holder's lease runs         | dropped                                         |
 * | the holder leaves, or its lease has run out                     | takes over                                      |
 * | says that it started later than the holder                      | takes over                                      |
 * | the second in order, {@link MIN_REPORT_GAP_MS} after the first, | takes over                                      |
 * | with none of the holder between them                            |                                                 |
 * | any other                                                       | waits for a second one                          |
 *
 * For: the wiring of a sidecar, its gate and its watch for crashes. Owns: the holder, and the incarnations that are over.
 * Relies on: the clock of its own machine alone; a start time is compared with another of the same machine.
 */
import type { Clock } from '../common/clock.js';
import {
  incarnationName,
  isSameIncarnation,
  startedLater,
  type Incarnation,
} from './incarnation.js';

/** One report of a target about itself. */
export interface TargetReport extends Incarnation {
  readonly service: string;
  /** `ADDRESS:PORT` that it serves. */
  readonly address: string;
  /** Requests that it works on at the same time. */
  readonly slots: number;
  readonly state: 'ready' | 'leaving';
  /** Rises with each report of an incarnation. */
  readonly sequence: number;
  /** How much longer it is slow from its start, in milliseconds. */
  readonly coldRemainingMs: number;
}

/** The incarnation that is in use. */
interface HeldLease {
  readonly report: TargetReport;
  /** When the report came, on the clock, in milliseconds. */
  readonly receivedAt: number;
}

/** A report of another incarnation that has not taken over yet. */
interface Candidate {
  /** Name of the incarnation. */
  readonly name: string;
  readonly sequence: number;
  readonly receivedAt: number;
}

/**
 * Reports that were delayed arrive together; those of a target that runs come at least this far apart, in milliseconds.
 */
const MIN_REPORT_GAP_MS = 300;

/**
 * Most incarnations that are remembered once they have left, been replaced or refused connections, of each of these, so
 * that late reports are known. Bounds memory.
 */
const MAX_REMEMBERED = 100;

export class TargetLease {
  private held: HeldLease | undefined;
  private candidate: Candidate | undefined;
  /** Names of incarnations that have said that they are gone, or were not found at their address. */
  private readonly ended = new Set<string>();
  /** Fell silent while another one reported. Reports of theirs may be late, or they may be back. */
  private readonly replaced = new Set<string>();
  /** Refused connections, with the sequence of their last report: late reports do not bring them back. */
  private readonly refusedSequences = new Map<string, number>();

  /**
   * @param leaseMs length of the lease: a target that has not reported for this long is not used (`targetSilentMs`)
   * @param onChange called when the target, its state or its slots may have changed
   */
  constructor(
    private readonly clock: Clock,
    private readonly leaseMs: number,
    private readonly onChange: () => void,
  ) {}

  /** The incarnation in use, whatever its state; undefined when none has a lease that runs. */
  get current(): TargetReport | undefined {
    const { held } = this;
    if (held === undefined || this.clock.now() - held.receivedAt >= this.leaseMs) return undefined;
    return held.report;
  }

  /** Name of the incarnation that is held; undefined when there is none. */
  private get heldName(): string | undefined {
    return this.held && incarnationName(this.held.report);
  }

  /** Whether the target takes new work. */
  get isReady(): boolean {
    return this.current?.state === 'ready';
  }

  /** Whether the target has said that it leaves, or has left. */
  get isLeaving(): boolean {
    const { held } = this;
    return held?.report.state === 'leaving';
  }

  /** Takes a report. */
  onReport(report: TargetReport): void {
    const name = incarnationName(report);
    if (this.ended.has(name)) return;
    if (report.sequence <= (this.refusedSequences.get(name) ?? -1)) return;
    const { held } = this;
    if (held === undefined || isSameIncarnation(held.report, report)) this.renew(report);
    else if (this.replaced.has(name) && this.current !== undefined) return;
    else if (this.mayTakeOver(held, report)) this.takeOver(held, report);
  }

  /** Another incarnation answered where the one with this name was expected: by now a newer one may be in use. */
  onMisdirected(name: string): void {
    this.markEnded(name);
    if (this.heldName !== name) return;
    this.held = undefined;
    this.onChange();
  }

  /**
   * The incarnation refuses connections: it is not used until it, or another one, reports. Waiting for its lease to run out
   * cost 3 s in which calls were sent to it.
   */
  onDown(name: string): void {
    const { held } = this;
    if (held === undefined || this.heldName !== name) return;
    this.refusedSequences.set(name, held.report.sequence);
    const [oldest] = this.refusedSequences.keys();
    if (this.refusedSequences.size > MAX_REMEMBERED && oldest !== undefined)
      this.refusedSequences.delete(oldest);
    this.held = undefined;
    this.candidate = undefined;
    this.onChange();
  }

  /** A target has said that it is gone: the one in use, where it does not say which start of it. */
  onLeave(leaving: Incarnation): void {
    const { held } = this;
    const isHeld = leaving.born === undefined && leaving.instance === held?.report.instance;
    const name = incarnationName(isHeld ? held.report : leaving);
    this.markEnded(name);
    if (held === undefined || this.heldName !== name) return;
    this.held = { ...held, report: { ...held.report, state: 'leaving' } };
    this.onChange();
  }

  private renew(report: TargetReport): void {
    const before = this.held?.report;
    if (before !== undefined && report.sequence < before.sequence) return;
    // A target that leaves does not come back as the same incarnation.
    const state = before?.state === 'leaving' ? 'leaving' : report.state;
    const born = report.born ?? before?.born;
    this.held = { report: { ...report, state, born }, receivedAt: this.clock.now() };
    this.candidate = undefined;
    this.onChange();
  }

  /**
   * Another incarnation takes over from one that has ended or fallen silent, if it says that it started later, or once it
   * has reported twice in order, some time apart, since the last report of the present one: other reports may be late ones.
   */
  private mayTakeOver(held: HeldLease, report: TargetReport): boolean {
    if (held.report.state === 'leaving' || this.current === undefined) return true;
    if (startedLater(report, held.report)) return true;
    const { candidate } = this;
    const receivedAt = this.clock.now();
    const name = incarnationName(report);
    if (candidate?.name !== name) {
      this.candidate = { name, sequence: report.sequence, receivedAt };
      return false;
    }
    const isApart = receivedAt - candidate.receivedAt >= MIN_REPORT_GAP_MS;
    return isApart && report.sequence > candidate.sequence;
  }

  private takeOver(held: HeldLease, report: TargetReport): void {
    addBounded(this.replaced, incarnationName(held.report));
    this.replaced.delete(incarnationName(report));
    this.held = undefined;
    this.renew(report);
  }

  private markEnded(name: string): void {
    addBounded(this.ended, name);
    this.replaced.delete(name);
  }
}

function addBounded(names: Set<string>, name: string): void {
  names.add(name);
  if (names.size <= MAX_REMEMBERED) return;
  const [oldest] = names;
  if (oldest !== undefined) names.delete(oldest);
}
