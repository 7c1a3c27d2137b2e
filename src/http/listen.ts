/** Binds a server of any protocol to an address. */
import type { AddressInfo, Server } from 'node:net';

/** Address to listen on. Port 0 selects any free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Starts listening.
 * @returns its origin, `http://ADDRESS:PORT`
 * @throws when the address cannot be bound
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
