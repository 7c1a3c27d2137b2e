/**
 * A limiter that follows its declared settings: when operators change the algorithm or the bounds,
 * a new limiter takes over from the present limit.
 */
import type { RandomSource } from '../common/random.js';
import type { ServiceSpec } from '../policy/resource-schema.js';
import { clampLimit, type ConcurrencyLimiter, type LatencySample } from './concurrency-limiter.js';
import { FixedLimiter } from './fixed-limiter.js';
import { ProbeLimiter } from './probe-limiter.js';

type ConcurrencySpec = ServiceSpec['concurrency'];

/** `adaptive` probes for the slots of the target; docs/design/admission.md weighs it against other ways. */
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
   * Adopts changed settings; does nothing when they are the same. The first ones replace what the
   * process started with before it knew any; after that, an adaptive limit goes on from where it is.
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
