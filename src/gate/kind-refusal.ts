/** Describes a refusal by the limit of a kind: its cause, then the numbers behind it. Pure. */
import type { KindLimitCause, KindLimitReached } from '../admission/kind-limiter.js';

/** A refusal by the limit of a kind. */
export interface KindRefusal extends KindLimitReached {
  /** Fraction of the target's own calls that are congested, 0 to 1. */
  readonly congestionLevel: number;
}

const CAUSES: Record<KindLimitCause, string> = {
  'first-limit': 'Too few calls of this kind have been answered yet to let in more.',
  congested: 'Calls that the target makes for this kind are held up.',
  recovering: 'Calls that the target makes for this kind were held up until lately.',
};

/** The detail of the refusal, as shown in log lines. */
export function kindRefusalDetail(refusal: KindRefusal): string {
  const { cause, inFlight: underWay, congestionLevel } = refusal;
  const limit = refusal.limit.toFixed(1);
  const level = congestionLevel.toFixed(2);
  const figures = `${underWay} are under way, the limit is ${limit}, the congestion level ${level}.`;
  return `${CAUSES[cause]} ${figures}`;
}
