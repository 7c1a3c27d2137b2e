/**
 * Watches from outside which requests of a group run, against the exact bound of any window of time. Knows nothing of
 * how the quota is kept.
 */
import type { GroupRate } from '../../../src/policy/group-table.js';
import { boundInWindow, type QuotaRule } from '../../../src/quota/quota-rule.js';

/** A rate that was declared. */
interface DeclaredRate {
  readonly rate: GroupRate;
  readonly at: number;
}

/** What was seen of one group. */
export interface QuotaFindings {
  /** Most runs in a window over what the bound allowed then; above 1 the bound is broken. */
  readonly worstPart: number;
  readonly runs: number;
  /** Requests refused while the runs of the last window were below the declared rate and burst. */
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

  /** @param graceMs time after which a lower rate binds, besides one window */
  constructor(
    rate: GroupRate,
    private readonly rule: QuotaRule,
    private readonly graceMs: number,
  ) {
    this.rates = [{ rate, at: -Infinity }];
  }

  /** Another rate is declared. */
  onRate(rate: GroupRate, now: number): void {
    this.rates.push({ rate, at: now });
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
    return { worstPart, wronglyRefused, offered, runs: this.runTimes.length };
  }

  private runsInWindow(now: number): number {
    while ((this.runTimes[this.firstInWindow] ?? Infinity) <= now - this.rule.windowMs)
      this.firstInWindow += 1;
    return this.runTimes.length - this.firstInWindow;
  }

  /** The largest bound of the rates that may still count. */
  private boundAt(now: number): number {
    const cutoff = now - this.rule.windowMs - this.graceMs;
    const applicable = this.rates.filter(
      (_, index) => (this.rates[index + 1]?.at ?? Infinity) > cutoff,
    );
    return Math.max(...applicable.map(({ rate }) => boundInWindow(rate, this.rule)));
  }
}
