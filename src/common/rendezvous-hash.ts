/**
 * Rendezvous (highest random weight) hashing: all processes rank the members for a key in the same order without
 * coordination. They must all use the same hash function.
 */
import xxhash, { type XXHashAPI } from 'xxhash-wasm';

let hasher: XXHashAPI | undefined;

/** Loads the hash function. Must be awaited before the first call of {@link rendezvousScore}. */
export async function prepareHashing(): Promise<void> {
  hasher ??= await xxhash();
}

/** Returns the weight of `member` for `key`, a 32-bit unsigned integer. */
export function rendezvousScore(key: string, member: string): number {
  // A plain Error, as this is a programming error.
  if (hasher === undefined) throw new Error('prepareHashing() was not awaited');
  return hasher.h32(`${key}\u0000${member}`);
}
