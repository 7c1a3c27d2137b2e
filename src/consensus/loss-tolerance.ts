/** How many replicas a replica set can lose at once, with their disks, without losing entries or its majority. */
import { majorityOf } from './peer-progress.js';

/** Returns the number of voters that a set needs to keep a majority after the loss of `losses` of them. */
export function votersToBear(losses: number): number {
  return 2 * losses + 1;
}

/**
 * Returns how many responsive voters can be lost while a majority of the set remains. An entry that a majority has synced
 * is then still held by one of the remaining voters.
 */
export function bearableLosses(voters: number, responsive: number): number {
  return Math.max(0, responsive - majorityOf(voters));
}
