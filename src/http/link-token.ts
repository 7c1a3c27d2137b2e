/** Constant-time comparison of link tokens. */
import { timingSafeEqual } from 'node:crypto';

/** Compares in a time that does not depend on where the tokens differ. */
export function isSameToken(presented: string, expected: string): boolean {
  const presentedBytes = Buffer.from(presented);
  const expectedBytes = Buffer.from(expected);
  return (
    presentedBytes.length === expectedBytes.length && timingSafeEqual(presentedBytes, expectedBytes)
  );
}
