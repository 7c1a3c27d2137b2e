/**
 * The baseline of the benchmarks: a minimal proxy of `node:http` and `undici`. A separate program; its only argument is
 * the upstream origin.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Pool } from 'undici';

const CONNECTIONS = 128;

/** Forwards one request and its response. */
function forward(pool: Pool, message: IncomingMessage, response: ServerResponse): void {
  const headers = { ...message.headers };
  delete headers.host;
  delete headers.connection;
  pool.stream(
    {
      path: message.url ?? '/',
      method: message.method as 'GET',
      headers,
      body: message.method === 'GET' ? null : message,
      opaque: response,
    },
    ({ statusCode, headers: answerHeaders, opaque }) => {
      const target = opaque;
      target.writeHead(statusCode, answerHeaders as Record<string, string>);
      return target;
    },
    (error) => {
      if (error !== null) response.destroy();
    },
  );
}

const [, , upstream = ''] = process.argv;
const pool = new Pool(upstream, { connections: CONNECTIONS, headersTimeout: 0, bodyTimeout: 0 });
const server = createServer((message, response) => forward(pool, message, response));
server.listen(0, '127.0.0.1', () => {
  const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  process.stdout.write(`${JSON.stringify({ id: 'bare-proxy', origins: { listen: origin } })}\n`);
});
