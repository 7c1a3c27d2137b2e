import { expect } from 'chai';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { ListeningServer } from '../../src/http/listening-server.js';

const HEADERS_TIMEOUT_MS = 100;
const IDLE_TIMEOUT_MS = 30_000;
/** Time in which a request that was read would be handled, in milliseconds. */
const HANDLING_MS = 100;
const HEAD = 'GET /first HTTP/1.1\r\nHost: shop.example\r\n\r\n';

/** Guards against a request that is answered 408, as not run, and handled all the same. */
describe('a connection whose request head is late', function () {
  this.timeout(10_000);
  let server: ListeningServer;
  let handled: string[];
  let socket: Socket;
  let received: string;

  beforeEach(async () => {
    handled = [];
    received = '';
    server = await ListeningServer.start({ host: '127.0.0.1', port: 0 }, (message, response) => {
      handled.push(message.url ?? '');
      response.end();
    });
    server.setTimeouts(HEADERS_TIMEOUT_MS, IDLE_TIMEOUT_MS);
    socket = connect(Number(new URL(server.origin).port), '127.0.0.1');
    // The server may reset the connection while the test writes.
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => (received += bytes.toString('latin1')));
    await once(socket, 'connect');
  });

  afterEach(() => {
    socket.destroy();
    server.destroy();
  });

  it('is closed without an answer if it has sent nothing', async () => {
    await once(socket, 'end');
    socket.write(HEAD);
    await sleep(HANDLING_MS);
    expect(received).to.equal('');
    expect(handled).to.deep.equal([]);
  });

  it('is answered 408 after a part of the head, and the rest is not read', async () => {
    socket.write(HEAD.slice(0, 10));
    await once(socket, 'data');
    socket.write(HEAD.slice(10));
    await sleep(HANDLING_MS);
    expect(received).to.match(/^HTTP\/1\.1 408 /);
    expect(handled).to.deep.equal([]);
  });
});
