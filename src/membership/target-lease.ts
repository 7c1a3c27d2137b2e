/**
 * What a sidecar knows of its target, from the reports that the target sends. Reports may come late
 * and out of order, also those of an earlier incarnation. Pure.
 */
import type { Clock } from '../common/clock.js';

/** One report of a target about itself. */
export interface TargetReport {
  /** Names one incarnation of the target. */
  readonly instance: string;
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
  readonly heardAt: number;
}

/** A report of another incarnation that has not taken over yet. */
interface Candidate {
  readonly instance: string;
  readonly sequence: number;
  readonly heardAt: number;
}

/** Reports that were held up arrive together; those of a target that runs come this far apart, in milliseconds. */
const MIN_REPORT_GAP_MS = 300;

/** Incarnations that are remembered once they have left or been replaced, so that late reports are known. */
const MAX_REMEMBERED = 100;

export class TargetLease {
  private held: HeldLease | undefined;
  private candidate: Candidate | undefined;
  /** Have said that they are gone, or were not found at their address. */
  private readonly ended = new Set<string>();
  /** Fell silent while another one reported. Reports of theirs may be late, or they may be back. */
  private readonly replaced = new Set<string>();
  /** Refused connections, with the sequence of their last report: late reports do not bring them back. */
  private readonly down = new Map<string, number>();

  /**
   * @param silentMs a target that was not heard of for this long is not used
   * @param onChange called when the target, its state or its slots may have changed
   */
  constructor(
    private readonly clock: Clock,
    private readonly silentMs: number,
    private readonly onChange: () => void,
  ) {}

  /** The incarnation in use, whatever its state; undefined when none was heard of lately. */
  get current(): TargetReport | undefined {
    const { held } = this;
    if (held === undefined || this.clock.now() - held.heardAt >= this.silentMs) return undefined;
    return held.report;
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
    if (this.ended.has(report.instance)) return;
    if (report.sequence <= (this.down.get(report.instance) ?? -1)) return;
    const { held } = this;
    if (held === undefined || held.report.instance === report.instance) this.renew(report);
    else if (this.replaced.has(report.instance) && this.current !== undefined) return;
    else if (this.mayTakeOver(held, report)) this.takeOver(held, report);
  }

  /** Another incarnation answered where `instance` was expected: by now a newer one may be in use. */
  onMisdirected(instance: string): void {
    this.end(instance);
    if (this.held?.report.instance !== instance) return;
    this.held = undefined;
    this.onChange();
  }

  /**
   * The incarnation refuses connections: it is not used until it, or another one, reports. Waiting for its lease to run out
   * cost 3 s in which calls were sent to it.
   */
  onDown(instance: string): void {
    const { held } = this;
    if (held?.report.instance !== instance) return;
    this.down.set(instance, held.report.sequence);
    const [oldest] = this.down.keys();
    if (this.down.size > MAX_REMEMBERED && oldest !== undefined) this.down.delete(oldest);
    this.held = undefined;
    this.candidate = undefined;
    this.onChange();
  }

  /** The incarnation has said that it is gone. */
  onLeave(instance: string): void {
    this.end(instance);
    const { held } = this;
    if (held?.report.instance !== instance) return;
    this.held = { ...held, report: { ...held.report, state: 'leaving' } };
    this.onChange();
  }

  private renew(report: TargetReport): void {
    const before = this.held?.report;
    if (before !== undefined && report.sequence < before.sequence) return;
    // A target that leaves does not come back as the same incarnation.
    const state = before?.state === 'leaving' ? 'leaving' : report.state;
    this.held = { report: { ...report, state }, heardAt: this.clock.now() };
    this.candidate = undefined;
    this.onChange();
  }

  /**
   * Another incarnation takes over from one that has ended or fallen silent, or once it has reported
   * twice in order, some time apart, since the present one was last heard: other reports may be late ones.
   */
  private mayTakeOver(held: HeldLease, report: TargetReport): boolean {
    if (held.report.state === 'leaving' || this.current === undefined) return true;
    const { candidate } = this;
    const heardAt = this.clock.now();
    if (candidate?.instance !== report.instance) {
      this.candidate = { instance: report.instance, sequence: report.sequence, heardAt };
      return false;
    }
    const isApart = heardAt - candidate.heardAt >= MIN_REPORT_GAP_MS;
    return isApart && report.sequence > candidate.sequence;
  }

  private takeOver(held: HeldLease, report: TargetReport): void {
    remember(this.replaced, held.report.instance);
    this.replaced.delete(report.instance);
    this.held = undefined;
    this.renew(report);
  }

  private end(instance: string): void {
    remember(this.ended, instance);
    this.replaced.delete(instance);
  }
}

function remember(instances: Set<string>, instance: string): void {
  instances.add(instance);
  if (instances.size <= MAX_REMEMBERED) return;
  const [oldest] = instances;
  if (oldest !== undefined) instances.delete(oldest);
}
