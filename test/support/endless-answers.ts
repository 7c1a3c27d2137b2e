/** Scripts of targets that send bytes without end: in a head, in the framing of a body, or in place of an answer. */
import type { Socket } from 'node:net';
import { answer, type ArrivedRequest, type Script } from './scripted-target.js';

const FAST_CHUNK_BYTES = 64 * 1024;
const SLOW_CHUNK_BYTES = 600;
const SLOW_INTERVAL_MS = 50;

type Pace = 'fast' | 'slow';

/** Sends `start`, then `unit` again and again until the connection is closed. */
function endless(start: (request: ArrivedRequest) => string, unit: string, pace: Pace): Script {
  const chunkBytes = pace === 'fast' ? FAST_CHUNK_BYTES : SLOW_CHUNK_BYTES;
  const chunk = Buffer.from(unit.repeat(Math.ceil(chunkBytes / unit.length)));
  return (socket, request) => {
    socket.write(start(request));
    if (pace === 'fast') writeAsFastAsRead(socket, chunk);
    else writeSlowly(socket, chunk);
  };
}

function writeAsFastAsRead(socket: Socket, chunk: Buffer): void {
  const write = (): void => {
    if (!socket.destroyed) socket.write(chunk, () => setImmediate(write));
  };
  write();
}

function writeSlowly(socket: Socket, chunk: Buffer): void {
  const timer = setInterval(() => socket.write(chunk), SLOW_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
}

const STATUS_LINE = 'HTTP/1.1 200 OK';

function chunkedHead({ id }: ArrivedRequest): string {
  return `${STATUS_LINE}\r\nx-request-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

/** Bytes that can't become an answer before any byte of a body, by what is endless. */
export const ENDLESS_BEFORE_BODY: Readonly<Record<string, Script>> = {
  'bytes of no protocol': endless(() => '', 'x', 'fast'),
  'one header': endless(() => `${STATUS_LINE}\r\nx-long: `, 'x', 'fast'),
  'many headers': endless(() => `${STATUS_LINE}\r\n`, 'x-many: 1\r\n', 'fast'),
  'many headers, slowly': endless(() => `${STATUS_LINE}\r\n`, 'x-many: 1\r\n', 'slow'),
  'a reason phrase': endless(() => 'HTTP/1.1 200 ', 'x', 'fast'),
  'informational answers': endless(() => '', 'HTTP/1.1 103 Early Hints\r\n\r\n', 'fast'),
  'the size of a chunk': endless(chunkedHead, '0', 'fast'),
  'the extension of a chunk': endless((request) => `${chunkedHead(request)}5;`, 'x', 'fast'),
  trailers: endless((request) => `${chunkedHead(request)}0\r\n`, 'x-many: 1\r\n', 'fast'),
  'trailers, slowly': endless((request) => `${chunkedHead(request)}0\r\n`, 'x-many: 1\r\n', 'slow'),
};

/** Sends a body in chunks that never ends. */
export const ENDLESS_BODY = endless(chunkedHead, '5\r\nwhole\r\n', 'fast');

/** Sends bytes without end after a whole answer. */
export const ENDLESS_AFTER_ANSWER = endless(({ id }) => answer(id, 'whole'), 'x', 'fast');
