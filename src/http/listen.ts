/** Starts a server of any protocol at an address and says where it can be reached. */
import type { AddressInfo, Server } from 'node:net';

/** Where a server listens. Port 0 takes any free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Resolves when the server listens.
 * @returns its origin, `http://ADDRESS:PORT`
 * @throws when the address cannot be had
 */
export async function listen(server: Server, address: ListenAddress): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, resolve);
  });
  const bound = server.address() as AddressInfo;
  const host = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address;
  return `http://${host}:${bound.port}`;
}
