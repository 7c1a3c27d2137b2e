/**
 * Guards against calls that fail as "may have run" although they reached no target, because they were sent to a peer that
 * had become unreachable: after the link was cut, or after the peer lost power while the link was idle.
 */
import { expect } from 'chai';
import { EventEmitter, once } from 'node:events';
import type { Outcome } from '../../src/call/outcome.js';
import { LinkPool } from '../../src/link/link-pool.js';
import type { LinkCallListener } from '../../src/link/link-stream.js';
import type { IncomingLinkCall } from '../../src/link/incoming-link-call.js';
import { LinkServer } from '../../src/link/link-server.js';
import { LoopbackProxy, type SilentDirections } from '../../lab/soak/loopback-proxy.js';
import { LINK_CALL_CONTEXT } from '../support/link-call.js';

const TOKEN = 'token-of-the-silent-link-test';
const OUTCOME: Outcome = {
  verdict: 'ran',
  refusal: undefined,
  overloaded: false,
  unspentRetries: 0,
  load: undefined,
};
const CALL = {
  context: { ...LINK_CALL_CONTEXT, waitMs: 100 },
  method: 'GET',
  path: '/',
  headers: [],
  body: null,
};
/** Longer than the idle time after which a link is probed. */
const IDLE_MS = 1_100;
/** Time without received data after which a link is closed. */
const CLOSED_AFTER_MS = 1_400;
const POLL_MS = 50;
const DIRECTIONS: SilentDirections[] = [
  { toServer: true, toClient: true },
  { toServer: true, toClient: false },
  { toServer: false, toClient: true },
];

/** Reports how one call ends. */
class CallObserver extends EventEmitter implements LinkCallListener {
  readonly ended = once(this, 'over').then(([how]) => how as string);

  onAnswer(): void {
    this.emit('over', 'answered');
  }
  onHead(): void {
    // All responses in this test are complete.
  }
  onRefused(): void {
    this.emit('over', 'refused');
  }
  onData(): boolean {
    return true;
  }
  onEnd(): void {
    this.emit('over', 'answered');
  }
  onFailure(written: boolean): void {
    this.emit('over', written ? 'lost' : 'not sent');
  }
}

describe('a link whose connection falls silent', function () {
  this.timeout(20_000);
  let server: LinkServer;
  let proxy: LoopbackProxy;
  let pool: LinkPool;
  let isResponding: boolean;

  beforeEach(async () => {
    isResponding = true;
    server = await LinkServer.start({ host: '127.0.0.1', port: 0 }, TOKEN, (call) => respond(call));
    proxy = await LoopbackProxy.start(Number(new URL(server.origin).port));
    pool = new LinkPool(TOKEN);
    expect(await call()).to.equal('answered');
  });

  afterEach(() => {
    pool.destroy();
    server.destroy();
    proxy.stop();
  });

  function respond(incoming: IncomingLinkCall): void {
    if (!isResponding) return;
    incoming.takeOutcome = () => OUTCOME;
    incoming.writeHead(200, []);
    incoming.end();
  }

  function call(): Promise<string> {
    const observer = new CallObserver();
    const stream = pool.call(proxy.origin, CALL, observer);
    return stream === undefined ? Promise.resolve('not sent') : observer.ended;
  }

  for (const directions of DIRECTIONS) {
    const name = JSON.stringify(directions);

    it(`is found out before a call is written to it after a rest, ${name}`, async () => {
      await pause(IDLE_MS);
      proxy.silence(directions);
      expect(await call()).to.equal('not sent');
      expect(await call()).to.equal('answered');
    });

    it(`gets no new calls long before it is given up, ${name}`, async () => {
      isResponding = false;
      proxy.silence(directions);
      const inFlightCall = call();
      const silentAt = performance.now();
      let stream: unknown = inFlightCall;
      while (stream !== undefined) {
        await pause(POLL_MS);
        stream = pool.call(proxy.origin, CALL, new CallObserver());
      }
      expect(performance.now() - silentAt).to.be.below(CLOSED_AFTER_MS);
      expect(await inFlightCall).to.equal('lost');
      isResponding = true;
      expect(await call()).to.equal('answered');
    });
  }

  it('is used after a rest if its peer is there', async () => {
    await pause(IDLE_MS);
    expect(await call()).to.equal('answered');
  });

  it('is not given up while a peer works on a call for long', async () => {
    isResponding = false;
    const inFlightCall = call();
    await pause(2_000);
    isResponding = true;
    expect(await call()).to.equal('answered');
    proxy.stop();
    expect(await inFlightCall).to.equal('lost');
  });

  it('never sends a call that was cancelled before it could be written', async () => {
    let arrived = 0;
    server.destroy();
    server = await LinkServer.start({ host: '127.0.0.1', port: 0 }, TOKEN, (incoming) => {
      arrived += 1;
      respond(incoming);
    });
    const cancelled = pool.call(server.origin, CALL, new CallObserver());
    cancelled!.cancel();
    const observer = new CallObserver();
    pool.call(server.origin, CALL, observer);
    expect(await observer.ended).to.equal('answered');
    expect(arrived).to.equal(1);
  });
});

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
