/** Finds ports of the loopback interface for processes that are restarted at the same address. */
import { once } from 'node:events';
import { createServer } from 'node:net';

/** The system hands out ports from 32,768 on to whoever asks for any, so a restarted process could lose one. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
/** Runs that go on at the same time begin to look at different places. */
const STRIDE = 97;

let next = FIRST_PORT + ((process.pid * STRIDE) % (LAST_PORT - FIRST_PORT));

/** Ports that nobody listens on now, each given only once by this process. @throws when there are none left */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tried = 0; ports.length < count; tried += 1) {
    if (tried > LAST_PORT - FIRST_PORT) throw new Error('no port is free');
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
    // Somebody listens there.
    return false;
  }
  await once(server.close(), 'close');
  return true;
}
