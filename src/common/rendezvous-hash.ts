/**
 * Rendezvous (highest random weight) hashing: every participant ranks the same members for a key in
 * the same order without coordination. Owns the loaded hash function; relies on xxhash-wasm, as all processes must agree on
 * the weights.
 */
import xxhash, { type XXHashAPI } from 'xxhash-wasm';

let hasher: XXHashAPI | undefined;

/** Loads the hash function. To be awaited at the start of a process, before anything is ranked. */
export async function prepareHashing(): Promise<void> {
  hasher ??= await xxhash();
}

/** The weight of `member` for `key`, a 32-bit unsigned number. */
export function rendezvousScore(key: string, member: string): number {
  // A mistake in the code and not a failure that an operator or a caller is told of, so none of the error classes.
  if (hasher === undefined) throw new Error('prepareHashing() was not awaited');
  return hasher.h32(`${key}\u0000${member}`);
}
