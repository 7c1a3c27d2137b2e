/**
 * Holds that a body which grows too large while it is sent on is seen to break off.
 *
 * Symptom: a chunked body over the limit was cut at the limit, and its stream ended as if that were the whole.
 * Sequence: the part that is held in memory is full, the request is sent on, and the rest passes the largest size; a body
 * with a declared length is refused before that. Cause: the generator of the stream returned where it should have failed.
 */
import { expect } from 'chai';
import { createServer, request, type ClientRequest, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Readable } from 'node:stream';
import { readRequestBody, type RequestBody } from '../../src/http/request-body.js';

const LIMITS = { bufferBytes: 10, maxBytes: 100, timeoutMs: 5_000 };

describe('a body that is streamed', () => {
  let server: Server;
  let client: ClientRequest;
  let bodyRead: Promise<RequestBody | undefined>;
  let isCallerGone: boolean;

  beforeEach(async () => {
    isCallerGone = false;
    server = createServer();
    bodyRead = new Promise((resolve) => {
      server.on('request', (message, response) => {
        response.once('close', () => (isCallerGone = true));
        readRequestBody(message, LIMITS, resolve);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    client = request({ port: (server.address() as AddressInfo).port, method: 'POST' });
    // The server ends the connection.
    client.on('error', () => undefined);
  });

  afterEach(() => {
    client.destroy();
    server.close();
    server.closeAllConnections();
  });

  /** The bytes that are sent on, and whether they ended as a whole body. */
  async function readForwardedBody(): Promise<{ bytes: number; isWhole: boolean }> {
    const body = await bodyRead;
    let bytes = 0;
    try {
      for await (const chunk of body!.content as Readable) bytes += (chunk as Buffer).length;
      return { bytes, isWhole: true };
    } catch {
      return { bytes, isWhole: false };
    }
  }

  it('is whole at the largest size', async () => {
    client.write('x'.repeat(50));
    const result = readForwardedBody();
    await bodyRead;
    client.end('x'.repeat(50));
    expect(await result).to.deep.equal({ bytes: 100, isWhole: true });
  });

  it('breaks off above the largest size', async () => {
    client.write('x'.repeat(50));
    const result = readForwardedBody();
    await bodyRead;
    client.end('x'.repeat(51));
    expect((await result).isWhole).to.equal(false);
    // An attempt that fails while its caller is there counts against its target.
    expect(isCallerGone).to.equal(true);
  });
});
