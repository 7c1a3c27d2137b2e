/**
 * Interface for claims of idempotency keys. A call that may run at most once claims its key after it has got a permit, just
 * before it is sent to the target. See docs/design/at-most-once.md. Implemented by `QuorumClaims`, and by `NO_CLAIMS` for
 * processes that claim no keys.
 */
import type { Verdict } from '../common/verdict.js';

/** Result of a claim. */
export type ClaimDecision =
  /** This call now holds the key and may run. */
  | { readonly type: 'granted' }
  /** Another call holds the key; `verdict` states whether that call ran. */
  | { readonly type: 'held'; readonly verdict: Verdict; readonly detail: string }
  /** It could not be determined whether the key is already claimed. */
  | { readonly type: 'unknown'; readonly detail: string };

/** Notified of the progress of the call that made the claim. */
export interface ClaimHandle {
  /** The call is about to be written to the target. */
  onForwarded(): void;
  /** The target answered the call. */
  onAnswered(): void;
  /** The call is known not to have run: frees the key. */
  release(): void;
}

/** Claims keys for the calls of one node. */
export interface KeyClaims {
  /**
   * @param key scope (service, group, kind) and idempotency key
   * @param decide called once with the result, possibly before this method returns
   */
  claim(key: string, decide: (decision: ClaimDecision) => void): ClaimHandle;
}
