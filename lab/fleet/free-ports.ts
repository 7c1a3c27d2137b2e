/** Finds free loopback ports for processes that restart at the same address. */
import { once } from 'node:events';
import { createServer } from 'node:net';

/** Below the ephemeral port range (from 32,768), so that no other socket takes the port during a restart. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
/** Spreads the first port by process id, so that concurrent runs probe different ports. */
const STRIDE = 97;

let next = FIRST_PORT + ((process.pid * STRIDE) % (LAST_PORT - FIRST_PORT));

/**
 * Returns ports that are not in use. Ports are probed in a cycle, so that none is returned twice before the range is
 * exhausted.
 * @throws when none is free
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tried = 0; ports.length < count; tried += 1) {
    if (tried > LAST_PORT - FIRST_PORT) throw new Error('no free loopback port is left');
    const port = next;
    next = next >= LAST_PORT ? FIRST_PORT : next + 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    await once(server.listen(port, '127.0.0.1'), 'listening');
  } catch {
    // The port is in use.
    return false;
  }
  await once(server.close(), 'close');
  return true;
}
