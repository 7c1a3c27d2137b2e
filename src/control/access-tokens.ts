/**
 * Bearer tokens of operators and their roles: decides who asks, and nothing else. Settings hold only the tokens' SHA-256 hashes,
 * so a token itself stands in no file and no log line of control.
 */
import { hash } from 'node:crypto';

/** What a token allows: `read` to look, `write` to look and change. */
export type AccessRole = 'read' | 'write';

/** A token as declared in the settings of control. */
export interface AccessToken {
  /** Name of the holder; recorded with every change. */
  readonly name: string;
  readonly role: AccessRole;
  /** SHA-256 of the token, hexadecimal. */
  readonly tokenHash: string;
}

const BEARER = /^bearer +(\S+)$/i;

export class AccessTokens {
  private readonly byHash: Map<string, AccessToken>;

  constructor(tokens: readonly AccessToken[]) {
    this.byHash = new Map(tokens.map((token) => [token.tokenHash, token]));
  }

  /** The holder of the token in an `Authorization` header, or undefined. */
  find(authorization: string | undefined): AccessToken | undefined {
    const presented = BEARER.exec(authorization ?? '')?.[1];
    if (presented === undefined) return undefined;
    return this.byHash.get(hash('sha256', presented, 'hex'));
  }
}
