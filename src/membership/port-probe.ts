/** Checks whether a process listens at an address, by opening and closing a TCP connection. Used to detect crashes. */
import { connect } from 'node:net';

/** Connect timeout, in milliseconds; short because the target is on the same machine. */
const TIMEOUT_MS = 300;

/**
 * Whether the port refuses connections, that is, no process listens on it.
 * @param address `ADDRESS:PORT`
 * @returns false also on a timeout, since the machine may merely be busy
 */
export function refusesConnections(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host: host!, port: Number(port), timeout: TIMEOUT_MS });
    const finish = (refuses: boolean): void => {
      socket.destroy();
      resolve(refuses);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'));
  });
}
