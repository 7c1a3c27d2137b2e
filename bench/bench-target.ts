/** The target of the benchmarks: responds immediately with a small body. A separate program. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

const BODY = Buffer.alloc(200, 'x');

const server = createServer((message, response) => {
  message.resume();
  const requestId = message.headers['x-request-id'];
  response.writeHead(200, {
    'content-length': BODY.length,
    'content-type': 'text/plain',
    // Sidecars reject responses without the id of the request.
    ...(requestId !== undefined && { 'x-request-id': requestId }),
  });
  response.end(BODY);
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
  const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  process.stdout.write(`${JSON.stringify({ id: 'bench-target', origins: { listen: origin } })}\n`);
});
