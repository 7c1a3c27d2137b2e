import { expect } from 'chai';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { CallingTargets } from '../support/calling-targets.js';

const WORK_MS = 60;
const GRACE_MS = 2_000;
const GAPS_MS = [0, 20];

/** Sends requests on one connection without waiting for answers. @returns how many answers came before it closed */
async function sendBehind(
  origin: string,
  heads: readonly string[],
  gapMs: number,
): Promise<number> {
  const { hostname, port } = new URL(origin);
  const socket = connect({ host: hostname, port: Number(port) });
  let text = '';
  const closed = new Promise<void>((resolve) => socket.on('close', () => resolve()));
  // The connection ends by a reset where unread bytes are left; how it ends is not what is tried.
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => (text += bytes.toString('latin1')));
  for (const head of heads) {
    socket.write(head);
    if (gapMs > 0) await sleep(gapMs);
  }
  await closed;
  return text.match(/HTTP\/1\.[01] 200/g)?.length ?? 0;
}

/**
 * Guards against requests that are forwarded although no answer can follow: they were sent on a connection that ends with
 * the answer to an earlier request.
 */
describe('a request behind the last answer of its connection', function () {
  this.timeout(30_000);

  it('never reaches a target while a sidecar stops', async () => {
    const targets = await CallingTargets.start(GRACE_MS);
    try {
      targets.callsPerRun = 1;
      targets.backWork = () => sleep(WORK_MS);
      const stopped = targets.front.stop();
      for (const gapMs of GAPS_MS) {
        const ids = ['first', 'second'].map((id) => `${id}-${gapMs}`);
        const heads = ids.map(
          (id) =>
            `GET /front/1 HTTP/1.1\r\nHost: shop.example\r\nx-request-id: ${id}\r\n` +
            `x-request-timeout-ms: 1000\r\n\r\n`,
        );
        targets.arrivedAtFront.clear();
        expect(await sendBehind(targets.front.origins.outbound!, heads, gapMs)).to.equal(1);
        expect([...targets.arrivedAtFront]).to.deep.equal([ids[0]]);
      }
      await stopped;
    } finally {
      await targets.end();
    }
  });
});
