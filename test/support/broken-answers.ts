/** Scripts of targets whose answers have no valid status, stop in the head or lack a part of their body. */
import type { Socket } from 'node:net';
import type { ArrivedRequest, Script } from './scripted-target.js';

/** Time after which the last part of an answer was read for itself, in milliseconds. */
const PAUSE_MS = 15;

type Text = (request: ArrivedRequest) => string;

/** How a target ends its connection: at once or after a pause, in order or with a reset. */
export const ENDS: Readonly<Record<string, (socket: Socket, text: string) => void>> = {
  'ends its connection with it': (socket, text) => socket.end(text),
  'ends its connection after a pause': (socket, text) => {
    socket.write(text);
    setTimeout(() => socket.end(), PAUSE_MS);
  },
  'resets its connection': (socket, text) => {
    socket.write(text, () => socket.resetAndDestroy());
  },
  'resets its connection after a pause': (socket, text) => {
    socket.write(text);
    setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
  },
};

function statusLine(status: string): Text {
  return ({ id }) => `HTTP/1.1 ${status} Whatever\r\nx-request-id: ${id}\r\n`;
}

function headLines(lines: string, version = '1.1'): Text {
  return ({ id }) => `HTTP/${version} 200 OK\r\nx-request-id: ${id}\r\n${lines}`;
}

/** Statuses outside 100 to 599, and some that are no status code at all. */
const NO_STATUSES = ['000', '007', '099', '600', '777', '999', '1000', '20', '-20', 'abc'];

const FRAMINGS: Readonly<Record<string, string>> = {
  'a body': 'Content-Length: 5\r\n\r\nwhole',
  'no body': 'Content-Length: 0\r\n\r\n',
  chunks: 'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n',
};

/** Answers without a valid status that leave the connection open. */
export const INVALID_STATUSES: Readonly<Record<string, Script>> = Object.fromEntries(
  NO_STATUSES.flatMap((status) =>
    Object.entries(FRAMINGS).map(([framing, rest]): [string, Script] => [
      `status ${status} with ${framing}`,
      (socket, request) => socket.write(statusLine(status)(request) + rest),
    ]),
  ),
);

/** Answers without a valid status, each followed by a sound one on the same connection. */
export const INVALID_BEFORE_SOUND: Readonly<Record<string, Script>> = Object.fromEntries(
  NO_STATUSES.map((status): [string, Script] => [
    `status ${status}, then a sound answer`,
    (socket, request) =>
      socket.write(
        `${statusLine(status)(request)}\r\n${headLines('Content-Length: 5\r\n\r\nwhole')(request)}`,
      ),
  ]),
);

/** Heads that stop, by the place where they do. */
export const CUT_HEADS: Readonly<Record<string, Text>> = {
  'after an interim answer': () => 'HTTP/1.1 103 Early Hints\r\n\r\n',
  'after its first byte': () => 'H',
  'in the version': () => 'HTTP/1',
  'in the status': () => 'HTTP/1.1 20',
  'after the status': () => 'HTTP/1.1 200',
  'in the reason': () => 'HTTP/1.1 200 O',
  'between CR and LF of the status line': () => 'HTTP/1.1 200 OK\r',
  'after the status line': () => 'HTTP/1.1 200 OK\r\n',
  'in the name of a header': headLines('Content-Le'),
  'after the name of a header': headLines('Content-Length:'),
  'in the value of a header': headLines('Content-Length: 5'),
  'between CR and LF of a header': headLines('Content-Length: 5\r'),
  'before the empty line': headLines('Content-Length: 5\r\n'),
  'in the empty line': headLines('Content-Length: 5\r\n\r'),
  'before the empty line, with Connection: close': headLines('Connection: close\r\n'),
  'in the empty line of version 1.0': headLines('Content-Length: 5\r\n\r', '1.0'),
};

/** Bodies that lack a part, by what is missing. */
export const CUT_BODIES: Readonly<Record<string, Text>> = {
  'all of its length': headLines('Content-Length: 5\r\n\r\n'),
  'a part of its length': headLines('Content-Length: 5\r\n\r\nwho'),
  'a part of its length, with Connection: close': headLines(
    'Connection: close\r\nContent-Length: 5\r\n\r\nwho',
  ),
  'a part of its length, in version 1.0': headLines('Content-Length: 5\r\n\r\nwho', '1.0'),
  'all chunks': headLines('Transfer-Encoding: chunked\r\n\r\n'),
  'a part of a chunk': headLines('Transfer-Encoding: chunked\r\n\r\n5\r\nwho'),
  'the end of a chunk': headLines('Transfer-Encoding: chunked\r\n\r\n5\r\nwhole'),
  'its last chunk': headLines('Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n'),
  'its last chunk, with Connection: close': headLines(
    'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n',
  ),
  'the end of its last chunk': headLines('Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n'),
  'the end of its last chunk, with Connection: close': headLines(
    'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n',
  ),
};

/** Bodies without a length: one whose connection is reset is not whole (RFC 9112, section 8). */
export const UNFRAMED_BODIES: Readonly<Record<string, Text>> = {
  'a body without a length': headLines('\r\nwho'),
  'a body without a length, with Connection: close': headLines('Connection: close\r\n\r\nwho'),
  'a body without a length, in version 1.0': headLines('\r\nwho', '1.0'),
};

/** Joins a text and an end of the connection to a script. */
export function scriptOf(text: Text, end: (socket: Socket, text: string) => void): Script {
  return (socket, request) => end(socket, text(request));
}
