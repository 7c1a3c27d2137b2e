/** One HTTP request over a socket of its own, and what a client of its version can conclude from the bytes that come back. */
import { connect } from 'node:net';

export interface RawRequest {
  readonly method: 'GET' | 'HEAD' | 'POST';
  readonly version: '1.0' | '1.1';
  readonly body?: 'with a length' | 'in chunks';
}

export interface RawAnswer {
  /** Status of the final answer; 0 without one. */
  readonly status: number;
  readonly head: string;
  /** The body as far as it arrived; chunks are joined. */
  readonly body: string;
  /** Whether the framing of the answer says that it is whole. */
  readonly looksWhole: boolean;
}

const BODY = 'order';
const INTERIM = /^HTTP\/1\.[01] 1\d\d [^]*?\r\n\r\n/;
const TIMEOUT_MS = 5_000;
/** Bytes of an answer that are kept; what follows is read and dropped. */
const MAX_KEPT_BYTES = 64 * 1024;

/** Sends a request and reads until its answer is whole or its connection ends. */
export async function exchange(
  origin: string,
  path: string,
  { method, version, body }: RawRequest,
  headers: Readonly<Record<string, string>>,
): Promise<RawAnswer> {
  const { hostname, port } = new URL(origin);
  const socket = connect({ host: hostname, port: Number(port) });
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  if (body === 'with a length') lines.push(`Content-Length: ${BODY.length}\r\n`);
  if (body === 'in chunks') lines.push('Transfer-Encoding: chunked\r\n');
  socket.write(`${method} ${path} HTTP/${version}\r\n${lines.join('')}\r\n`);
  if (body === 'with a length') socket.write(BODY);
  if (body === 'in chunks') socket.write(`${BODY.length}\r\n${BODY}\r\n0\r\n\r\n`);
  let text = '';
  return new Promise((resolve) => {
    let isReset = false;
    const finish = (isEnded: boolean): void => {
      socket.destroy();
      resolve(judge(text, method, isEnded && !isReset));
    };
    socket.setTimeout(TIMEOUT_MS, () => finish(false));
    socket.on('error', () => (isReset = true));
    socket.on('close', () => finish(true));
    socket.on('data', (bytes) => {
      if (text.length > MAX_KEPT_BYTES) return;
      text += bytes.toString('latin1');
      if (judge(text, method, false).looksWhole) finish(false);
    });
  });
}

/** @param isEnded whether the connection ended in order after these bytes */
function judge(text: string, method: string, isEnded: boolean): RawAnswer {
  let rest = text;
  while (INTERIM.test(rest)) rest = rest.replace(INTERIM, '');
  const end = rest.indexOf('\r\n\r\n');
  if (end < 0) return { status: 0, head: rest, body: '', looksWhole: false };
  const head = rest.slice(0, end);
  const status = Number(/^HTTP\/1\.[01] (\d+)/.exec(head)?.[1] ?? 0);
  const raw = rest.slice(end + 4);
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
  if (hasNoBody) return { status, head, body: raw, looksWhole: true };
  if (/^transfer-encoding: *chunked/im.test(head)) return { status, head, ...joinChunks(raw) };
  const looksWhole = length === undefined ? isEnded : raw.length >= Number(length);
  return { status, head, body: raw, looksWhole };
}

function joinChunks(raw: string): { body: string; looksWhole: boolean } {
  let body = '';
  let rest = raw;
  for (;;) {
    const size = /^([0-9a-f]+)\r\n/i.exec(rest);
    if (size === null) return { body, looksWhole: false };
    const length = Number.parseInt(size[1]!, 16);
    rest = rest.slice(size[0].length);
    if (length === 0) return { body, looksWhole: rest.startsWith('\r\n') };
    body += rest.slice(0, length);
    rest = rest.slice(length + 2);
  }
}
