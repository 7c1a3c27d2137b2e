/**
 * A limiter configured by the concurrency settings of a service. A change of the algorithm or of the bounds creates a new
 * limiter that starts from the current limit.
 */
import type { RandomSource } from '../common/random.js';
import type { ServiceSpec } from '../policy/resource-schema.js';
import { clampLimit, type ConcurrencyLimiter, type LatencySample } from './concurrency-limiter.js';
import { FixedLimiter } from './fixed-limiter.js';
import { ProbeLimiter } from './probe-limiter.js';

type ConcurrencySpec = ServiceSpec['concurrency'];

/** `adaptive` selects {@link ProbeLimiter}; docs/design/admission.md compares it with other algorithms. */
function createLimiter(
  spec: ConcurrencySpec,
  initial: number,
  random: RandomSource,
): ConcurrencyLimiter {
  const bounds = { min: spec.min, max: spec.max, initial };
  return spec.algorithm === 'fixed' ? new FixedLimiter(bounds) : new ProbeLimiter(bounds, random);
}

export class AdaptiveLimiter implements ConcurrencyLimiter {
  private current: ConcurrencyLimiter;
  private spec: ConcurrencySpec;
  private isConfigured = false;

  constructor(
    spec: ConcurrencySpec,
    private readonly random: RandomSource,
  ) {
    this.spec = spec;
    this.current = createLimiter(spec, spec.initial, random);
  }

  get limit(): number {
    return this.current.limit;
  }

  onSample(sample: LatencySample, now: number): void {
    this.current.onSample(sample, now);
  }

  /**
   * Applies new settings; a no-op if they are unchanged. The first settings replace the defaults and reset the limit; later
   * ones keep the current limit within the new bounds, unless the algorithm is `fixed`.
   */
  configure(spec: ConcurrencySpec): void {
    const isFirst = !this.isConfigured;
    this.isConfigured = true;
    if (JSON.stringify(spec) === JSON.stringify(this.spec)) return;
    const isReset = isFirst || spec.algorithm === 'fixed';
    const initial = isReset ? spec.initial : clampLimit(this.limit, spec);
    this.spec = spec;
    this.current = createLimiter(spec, initial, this.random);
  }
}
