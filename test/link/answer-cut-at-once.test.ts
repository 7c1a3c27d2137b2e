import { expect } from 'chai';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { CallContext } from '../../src/call/call-context.js';
import type { Outcome } from '../../src/call/outcome.js';
import { SYSTEM_CLOCK } from '../../src/common/clock.js';
import { writeRefusal } from '../../src/http/caller-response.js';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import type { IncomingLinkCall } from '../../src/link/incoming-link-call.js';
import { LinkPool } from '../../src/link/link-pool.js';
import { LinkServer } from '../../src/link/link-server.js';
import { PeerTransport, replacedHeaders } from '../../src/link/peer-transport.js';
import { exchange } from '../support/raw-exchange.js';

const TOKEN = 'a-token-of-this-test';
const OUTCOME: Outcome = {
  verdict: 'ran',
  refusal: undefined,
  overloaded: false,
  unspentRetries: 0,
  load: undefined,
};
const CONTEXT: Omit<CallContext, 'deadlineAt'> = {
  requestId: 'q',
  group: 'default',
  kind: 'k',
  importance: 1,
  retries: 0,
};

/**
 * Guards against a closed connection without a byte of an answer: the first byte of a body and its end without the rest
 * arrived in one turn of the event loop, as they do at a busy ingress.
 */
describe('an answer that is cut off in the turn in which its body begins', () => {
  const resources: (() => void)[] = [];
  afterEach(() => {
    for (const end of resources.splice(0)) end();
  });

  /** Starts a server whose responses come over a link from `gate`. @returns its origin */
  async function startIngress(gate: (call: IncomingLinkCall) => void): Promise<string> {
    const links = new LinkPool(TOKEN);
    const peer = await LinkServer.start({ host: '127.0.0.1', port: 0 }, TOKEN, (call) => {
      call.takeOutcome = () => OUTCOME;
      gate(call);
    });
    const server = createServer((message, response) =>
      relay(links, peer.origin, message, response),
    );
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    resources.push(
      () => links.destroy(),
      () => peer.destroy(),
      () => server.close(),
    );
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  function relay(
    links: LinkPool,
    origin: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): void {
    const names = DEFAULT_TARGET_HEADERS;
    const options = {
      clock: SYSTEM_CLOCK,
      links,
      names,
      replacedHeaders: replacedHeaders(names),
      callingService: () => 's',
    };
    const context = { ...CONTEXT, deadlineAt: SYSTEM_CLOCK.now() + 1_000 };
    const body = { content: null, bufferedStart: null, replayable: true };
    const transport = new PeerTransport(options, context, message, body, response, undefined);
    const refusal = {
      reason: 'broken-answer' as const,
      verdict: 'ran' as const,
      retryAfterSeconds: 0,
      detail: 'The answer broke off.',
    };
    transport.send(
      { id: 'e', incarnation: 1, origin, service: 's', zone: 'z', state: 'ready' },
      { retries: 0, isRepeat: false },
      {
        onHead: () => 'relay',
        onEnd: () => undefined,
        onFailure: () => writeRefusal(response, refusal, 'q'),
      },
    );
  }

  const REQUEST = { method: 'GET', version: '1.1' } as const;
  const HOST = { host: 'a.example' };

  for (const parts of [1, 2, 100]) {
    it(`reaches its client as far as it came, in ${parts} parts`, async () => {
      const part = 'x'.repeat(100);
      const origin = await startIngress((call) => {
        call.writeHead(200, ['Content-Length', String(part.length * parts + 1)]);
        for (let each = 0; each < parts; each += 1) call.write(Buffer.from(part));
        call.destroy();
      });
      const { status, body, looksWhole } = await exchange(origin, '/x', REQUEST, HOST);
      const seen = { status, length: body.length, looksWhole };
      expect(seen).to.deep.equal({ status: 200, length: part.length * parts, looksWhole: false });
    });
  }

  it('gets a status where nothing of the body came', async () => {
    const origin = await startIngress((call) => {
      call.writeHead(200, ['Content-Length', '5']);
      call.destroy();
    });
    const { status, looksWhole } = await exchange(origin, '/x', REQUEST, HOST);
    expect({ status, looksWhole }).to.deep.equal({ status: 502, looksWhole: true });
  });
});
