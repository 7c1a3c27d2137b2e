/**
 * Checks the runs of a group's requests against the exact bound of its quota in any window, independently of
 * how the quota is enforced.
 */
import type { GroupRate } from '../../../src/policy/group-table.js';
import { boundInWindow, type QuotaRule } from '../../../src/quota/quota-rule.js';

/** A rate and the time from which it was declared. */
interface DeclaredRate {
  readonly rate: GroupRate;
  readonly at: number;
}

/** Results for one group. */
export interface QuotaFindings {
  /** Largest ratio of the runs in a window to the bound; above 1 the bound is violated. */
  readonly worstBoundRatio: number;
  readonly runs: number;
  /** Requests refused although the runs in the last window were below the declared rate and burst. */
  readonly wronglyRefused: number;
  readonly offered: number;
}

export class QuotaChecker {
  private readonly runTimes: number[] = [];
  private firstInWindow = 0;
  private worstBoundRatio = 0;
  private offered = 0;
  private wronglyRefused = 0;
  private readonly rates: DeclaredRate[];

  /** @param graceMs time in addition to one window after which a lower rate applies */
  constructor(
    rate: GroupRate,
    private readonly rule: QuotaRule,
    private readonly graceMs: number,
  ) {
    this.rates = [{ rate, at: -Infinity }];
  }

  /** Records a change of the declared rate. */
  onRate(rate: GroupRate, now: number): void {
    this.rates.push({ rate, at: now });
  }

  get offeredCount(): number {
    return this.offered;
  }

  onOffered(): void {
    this.offered += 1;
  }

  onRun(now: number): void {
    this.runTimes.push(now);
    this.worstBoundRatio = Math.max(
      this.worstBoundRatio,
      this.runsInWindow(now) / this.boundAt(now),
    );
  }

  onRefused(now: number): void {
    const { rate } = this.rates.at(-1)!;
    const declared = boundInWindow(rate, { ...this.rule, tolerance: 0, slack: 0 });
    if (this.runsInWindow(now) + 1 <= declared) this.wronglyRefused += 1;
  }

  findings(): QuotaFindings {
    const { worstBoundRatio: worstPart, wronglyRefused, offered } = this;
    return { worstBoundRatio: worstPart, wronglyRefused, offered, runs: this.runTimes.length };
  }

  private runsInWindow(now: number): number {
    while ((this.runTimes[this.firstInWindow] ?? Infinity) <= now - this.rule.windowMs)
      this.firstInWindow += 1;
    return this.runTimes.length - this.firstInWindow;
  }

  /** Returns the largest bound among the rates that may still apply. */
  private boundAt(now: number): number {
    const cutoff = now - this.rule.windowMs - this.graceMs;
    const applicable = this.rates.filter(
      (_, index) => (this.rates[index + 1]?.at ?? Infinity) > cutoff,
    );
    return Math.max(...applicable.map(({ rate }) => boundInWindow(rate, this.rule)));
  }
}
