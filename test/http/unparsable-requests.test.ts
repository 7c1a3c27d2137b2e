import { expect } from 'chai';
import type { RequestListener } from 'node:http';
import { connect } from 'node:net';
import { ListeningServer } from '../../src/http/listening-server.js';

const ADDRESS = { host: '127.0.0.1', port: 0 };
const WORK_MS = 50;
const GET = 'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n';
const POST = 'POST / HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n';
const GARBAGE = 'no request\r\n\r\n';

const answerLater: RequestListener = (_message, response) => {
  setTimeout(() => response.end('first'), WORK_MS);
};
const answerAtOnce: RequestListener = (_message, response) => {
  response.write('first');
};

/** Sends bytes on one connection. @returns all that is received until it is closed */
async function exchange(listener: RequestListener, ...pieces: string[]): Promise<string> {
  const server = await ListeningServer.start(ADDRESS, listener);
  const { hostname, port } = new URL(server.origin);
  const socket = connect({ host: hostname, port: Number(port) });
  let text = '';
  socket.on('data', (bytes) => (text += bytes.toString('latin1')));
  // The connection may end by a reset, as bytes are left unread.
  socket.on('error', () => undefined);
  const closed = new Promise<void>((resolve) => socket.on('close', () => resolve()));
  for (const piece of pieces) {
    socket.write(piece);
    await new Promise((resolve) => setTimeout(resolve, WORK_MS / 5));
  }
  await closed;
  server.destroy();
  return text;
}

describe('bytes that are no request', () => {
  it('are refused as not run where they come first', async () => {
    const text = await exchange(answerLater, GARBAGE);
    expect(text).to.match(/^HTTP\/1\.1 400 /);
    expect(text).to.contain('"verdict":"not-run"');
  });

  // Their 400 was taken for the answer of the request before them, which ran.
  for (const pieces of [[GET + GARBAGE], [GET, GARBAGE], [GET + GET, GARBAGE]]) {
    it(`leave the requests before them their answers: ${pieces.length} pieces, ${pieces.join('').length} bytes`, async () => {
      const text = await exchange(answerLater, ...pieces);
      const requests = pieces.join('').split('GET ').length - 1;
      expect(text.match(/HTTP\/1\.1 200 /g)).to.have.length(requests);
      expect(text).not.to.contain(' 400 ');
      expect(text.endsWith('first')).to.equal(true);
    });
  }

  it('are not said to have not run in the body of a request', async () => {
    const text = await exchange(answerLater, POST, `5\r\nfirst\r\n${GARBAGE}`);
    expect(text).to.match(/^HTTP\/1\.1 400 /);
    expect(text).to.contain('"verdict":"may-have-run"');
  });

  it('cut an answer that has begun, and add nothing to it', async () => {
    const text = await exchange(answerAtOnce, POST, GARBAGE);
    expect(text).to.match(/^HTTP\/1\.1 200 /);
    expect(text).not.to.contain(' 400 ');
    expect(text).not.to.match(/\r\n0\r\n\r\n$/);
  });
});
