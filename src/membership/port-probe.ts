/**
 * Asks whether a process listens at an address, by opening a connection and closing it.
 *
 * For: the watch for crashes, which asks what became of an incarnation. Owns: nothing beyond one connection.
 * Relies on: the system to refuse connections to a port that no process has.
 */
import { connect } from 'node:net';

/** Longest wait for an answer, in milliseconds: the target is on the same machine. */
const TIMEOUT_MS = 300;

/**
 * Whether the port refuses connections, so that no process has it.
 * @param address `ADDRESS:PORT`
 * @returns false as well when nothing answers: that may be a machine that is busy
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
