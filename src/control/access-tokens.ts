/**
 * Authenticates operators by bearer token and gives their role. Settings hold only SHA-256 hashes, so tokens do not appear in
 * files or logs.
 */
import { hash } from 'node:crypto';

/** Permission of a token; `write` includes `read`. */
export type AccessRole = 'read' | 'write';

/** A token entry in the settings of control. */
export interface AccessToken {
  /** Name of the token holder, recorded as the actor of every change. */
  readonly name: string;
  readonly role: AccessRole;
  /** SHA-256 hash of the token, in hexadecimal. */
  readonly tokenHash: string;
}

const BEARER = /^bearer +(\S+)$/i;

export class AccessTokens {
  private readonly byHash: Map<string, AccessToken>;

  constructor(tokens: readonly AccessToken[]) {
    this.byHash = new Map(tokens.map((token) => [token.tokenHash, token]));
  }

  /** Returns the entry of the token in an `Authorization` header, or undefined for a missing or unknown token. */
  find(authorization: string | undefined): AccessToken | undefined {
    const presented = BEARER.exec(authorization ?? '')?.[1];
    if (presented === undefined) return undefined;
    return this.byHash.get(hash('sha256', presented, 'hex'));
  }
}
