/**
 * Detects whether a group is hot at an ingress: control has said that it asks for more than its limit over all ingresses, and
 * it asks for more than its allowance here.
 */
import { PROJECTED_MS } from './quota-messages.js';

/** Standard deviations of a random arrival count by which a demand must exceed the allowance to be suspected. */
const DEVIATIONS = 2;

/** The demand and the allowance of a group at an ingress. Amounts are requests per window. */
export interface WindowDemand {
  readonly allowance: number;
  /** Requests of the last {@link PROJECTED_MS}, projected to a window. */
  readonly projected: number;
  readonly windowMs: number;
  /** Whether control has said that the group asks for more than its limit over all ingresses. */
  readonly isLimited: boolean;
}

/** Whether the permits of the group are short here because the group is beyond its limit. */
export function isHot({ isLimited, projected, allowance }: WindowDemand): boolean {
  return isLimited && projected > allowance;
}

/** Whether the demand is likely to exceed the allowance, so that control should hear of it at once. */
export function isRising({ projected, allowance, windowMs }: WindowDemand): boolean {
  const deviation = Math.sqrt((projected * windowMs) / PROJECTED_MS);
  return projected - DEVIATIONS * deviation > allowance;
}
