/**
 * Rendezvous (highest random weight) hashing: every participant ranks the same members for a key in
 * the same order without coordination.
 */
import xxhash, { type XXHashAPI } from 'xxhash-wasm';

let hasher: XXHashAPI | undefined;

/** Loads the hash function. To be awaited at the start of a process, before anything is ranked. */
export async function prepareHashing(): Promise<void> {
  hasher ??= await xxhash();
}

/** The weight of `member` for `key`, a 32-bit unsigned number. */
export function rendezvousScore(key: string, member: string): number {
  if (hasher === undefined) throw new Error('prepareHashing() was not awaited');
  return hasher.h32(`${key}\u0000${member}`);
}

/** The `count` members with the highest weight for `key`, best first; ties by name. */
export function rendezvousTop(key: string, members: readonly string[], count: number): string[] {
  return members
    .map((member) => ({ member, score: rendezvousScore(key, member) }))
    .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
    .slice(0, count)
    .map((entry) => entry.member);
}
