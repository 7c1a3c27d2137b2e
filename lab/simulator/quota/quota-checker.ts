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
  private oldest = 0;
  private worstPart = 0;
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
    this.worstPart = Math.max(this.worstPart, this.inWindow(now) / this.boundAt(now));
  }

  onRefused(now: number): void {
    const { rate } = this.rates.at(-1)!;
    const declared = boundInWindow(rate, { ...this.rule, tolerance: 0, slack: 0 });
    if (this.inWindow(now) + 1 <= declared) this.wronglyRefused += 1;
  }

  findings(): QuotaFindings {
    const { worstPart, wronglyRefused, offered } = this;
    return { worstPart, wronglyRefused, offered, runs: this.runTimes.length };
  }

  private inWindow(now: number): number {
    while ((this.runTimes[this.oldest] ?? Infinity) <= now - this.rule.windowMs) this.oldest += 1;
    return this.runTimes.length - this.oldest;
  }

  /** The largest bound of the rates that may still count. */
  private boundAt(now: number): number {
    const since = now - this.rule.windowMs - this.graceMs;
    const counting = this.rates.filter(
      (_, index) => (this.rates[index + 1]?.at ?? Infinity) > since,
    );
    return Math.max(...counting.map(({ rate }) => boundInWindow(rate, this.rule)));
  }
}
