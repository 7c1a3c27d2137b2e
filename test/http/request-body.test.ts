/**
 * Guards against truncating a chunked request body that exceeds the maximum size while it is being forwarded: the stream
 * must fail, not end as if the body were complete.
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
    // The server closes the connection.
    client.on('error', () => undefined);
  });

  afterEach(() => {
    client.destroy();
    server.close();
    server.closeAllConnections();
  });

  /** Reads the forwarded body: its number of bytes, and whether it ended without an error. */
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

  it('fails without an effect on its process when its caller leaves before anything reads it', async () => {
    client.write('x'.repeat(50));
    const content = (await bodyRead)!.content as Readable;
    client.destroy();
    await new Promise((resolve) => content.once('close', resolve));
    expect(content.errored).to.be.an('error');
    // An attempt that fails while its caller is connected counts as a failure of its target.
    expect(isCallerGone).to.equal(true);
  });

  it('breaks off above the largest size', async () => {
    client.write('x'.repeat(50));
    const result = readForwardedBody();
    await bodyRead;
    client.end('x'.repeat(51));
    expect((await result).isWhole).to.equal(false);
    // An attempt that fails while its caller is connected counts as a failure of its target.
    expect(isCallerGone).to.equal(true);
  });
});
