/**
 * Guards against the end of the process when a streamed request body fails while nothing reads it, as while its call waits
 * for admission: the 'error' event of the stream had no listener.
 */
import { expect } from 'chai';
import { EventEmitter, once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { PassThrough, Readable } from 'node:stream';
import { Pool } from 'undici';
import { LinkPool } from '../../src/link/link-pool.js';
import type { LinkStream } from '../../src/link/link-stream.js';
import type { IncomingLinkCall } from '../../src/link/incoming-link-call.js';
import { LinkServer } from '../../src/link/link-server.js';
import { LoopbackProxy } from '../../lab/soak/loopback-proxy.js';
import { IGNORE_RESPONSE, LINK_CALL_CONTEXT } from '../support/link-call.js';

const TOKEN = 'token-of-the-unread-body-test';
/** Time after which a link whose peer is silent is closed, in milliseconds. */
const SILENCE_CLOSES_AFTER_MS = 1_400;

/** A call with a streamed body of which the first bytes have arrived at the called side. */
interface Upload {
  readonly call: IncomingLinkCall;
  readonly stream: LinkStream;
  /** The body at the calling side. */
  readonly sent: PassThrough;
  readonly proxy: LoopbackProxy;
}

describe('a streamed request body that nothing reads', function () {
  this.timeout(5 * SILENCE_CLOSES_AFTER_MS);
  let server: LinkServer;
  let pool: LinkPool;
  let proxy: LoopbackProxy;
  const arrivals = new EventEmitter();

  beforeEach(async () => {
    server = await LinkServer.start({ host: '127.0.0.1', port: 0 }, TOKEN, (call) =>
      arrivals.emit('call', call),
    );
    proxy = await LoopbackProxy.start(Number(new URL(server.origin).port));
    pool = new LinkPool(TOKEN);
  });

  afterEach(() => {
    pool.destroy();
    proxy.stop();
    server.destroy();
  });

  async function upload(): Promise<Upload> {
    const sent = new PassThrough();
    const arrived = once(arrivals, 'call') as Promise<[IncomingLinkCall]>;
    const frame = {
      context: LINK_CALL_CONTEXT,
      method: 'POST',
      path: '/',
      headers: [],
      body: sent,
    };
    const stream = pool.call(proxy.origin, frame, IGNORE_RESPONSE)!;
    const [call] = await arrived;
    sent.write('the first part');
    const body = call.body as Readable;
    while (body.readableLength === 0) await nextTurn();
    return { call, stream, sent, proxy };
  }

  const ends: { name: string; end: (upload: Upload) => void }[] = [
    { name: 'its call is cancelled', end: ({ stream }) => stream.cancel() },
    { name: 'its sender fails', end: ({ sent }) => sent.destroy(new Error('the client left')) },
    { name: 'its link is reset', end: ({ proxy: link }) => link.reset() },
    {
      name: 'its link falls silent',
      end: ({ proxy: link }) => link.silence({ toServer: true, toClient: true }),
    },
  ];
  for (const { name, end } of ends) {
    it(`fails without an effect on its process when ${name}`, async () => {
      const started = await upload();
      const body = started.call.body as Readable;
      end(started);
      while (!body.closed) await nextTurn();
      expect(body.errored).to.be.an('error');
    });
  }

  it('fails without an effect on its process after the attempt to send it has failed', async () => {
    const { call, stream } = await upload();
    const target = new Pool(`http://127.0.0.1:${await refusingPort()}`);
    const failed = new Promise<void>((resolve) => {
      target.dispatch(
        { method: 'POST', path: '/', body: call.body },
        { onRequestStart: () => undefined, onResponseError: () => resolve() },
      );
    });
    await failed;
    const cancelled = once(call, 'cancel');
    stream.cancel();
    await cancelled;
    await nextTurn();
    await target.destroy();
  });
});

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Returns a port at which nothing listens. */
async function refusingPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}
