/**
 * Claims of idempotency keys: a call that may run at most once runs only after its node has claimed
 * the key. docs/design/at-most-once.md weighs the ways. Asked by an inbound call that holds a permit, just before it is
 * sent; implemented by `QuorumClaims`, and by `NO_CLAIMS` where no keys are claimed.
 */
import type { Verdict } from '../common/verdict.js';

/** The answer to a claim. */
export type ClaimDecision =
  /** The key was free and is now held by this call, which may run. */
  | { readonly type: 'granted' }
  /** Another call holds the key, or did; `verdict` says what is known of it. */
  | { readonly type: 'held'; readonly verdict: Verdict; readonly detail: string }
  /** It cannot be known now whether the key was claimed before. */
  | { readonly type: 'unknown'; readonly detail: string };

/** A claim, to be told what becomes of its call. */
export interface ClaimHandle {
  /** The call is about to be written to the target. */
  onForwarded(): void;
  /** The target answered. */
  onAnswered(): void;
  /** The call is known not to have run: the key is free again. */
  release(): void;
}

/** Claims keys for the calls of one node. */
export interface KeyClaims {
  /**
   * Claims a key.
   * @param key scope (service, group, kind) and idempotency key
   * @param decide hears the decision once, possibly before this returns
   */
  claim(key: string, decide: (decision: ClaimDecision) => void): ClaimHandle;
}
