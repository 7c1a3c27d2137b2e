/** Compares a link token that a peer presents with the deployment's, in a time that does not depend on where they differ. */
import { timingSafeEqual } from 'node:crypto';

/** Whether both texts are the same. */
export function isSameToken(presented: string, expected: string): boolean {
  const presentedBytes = Buffer.from(presented);
  const expectedBytes = Buffer.from(expected);
  return (
    presentedBytes.length === expectedBytes.length && timingSafeEqual(presentedBytes, expectedBytes)
  );
}
