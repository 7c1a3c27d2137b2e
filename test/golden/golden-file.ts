/**
 * Reads golden files: literal bytes of messages as released versions send them, which reveal unintended
 * changes of the wire format.
 *
 * A file holds a block of three lines per message: its name, its bytes in hexadecimal, and the decoded
 * msgpack value as JSON. Lines that begin with `#` are comments.
 *
 * To change the wire format on purpose, add a block with a new name for the new bytes and keep the old
 * blocks: the previous version still sends those bytes during a rolling update, so tests must decode them.
 */
import { expect } from 'chai';
import { unpack } from 'msgpackr';
import { readFileSync } from 'node:fs';

/** Relative to the repository root, the working directory of the tests. */
const FOLDER = 'test/golden';
const LINES_OF_BLOCK = 3;

/** One message as sent over the wire. */
export interface GoldenMessage {
  readonly bytes: Buffer;
  /** The decoded msgpack value as JSON. */
  readonly text: string;
}

/** A message encoded by the current code. */
export interface EncodedMessage {
  readonly name: string;
  readonly bytes: Uint8Array;
}

/** Reads the golden messages of a file, keyed by name. */
export function readGoldenFile(fileName: string): ReadonlyMap<string, GoldenMessage> {
  const lines = readFileSync(`${FOLDER}/${fileName}`, 'utf8')
    .split('\n')
    .filter((line) => line !== '' && !line.startsWith('#'));
  const messages = new Map<string, GoldenMessage>();
  for (let index = 0; index < lines.length; index += LINES_OF_BLOCK) {
    const [name, hex, text] = lines.slice(index, index + LINES_OF_BLOCK) as [
      string,
      string,
      string,
    ];
    if (messages.has(name)) throw new Error(`${fileName} holds '${name}' twice`);
    messages.set(name, { bytes: Buffer.from(hex, 'hex'), text });
  }
  return messages;
}

/** Returns the bytes of one golden message. */
export function goldenBytes(messages: ReadonlyMap<string, GoldenMessage>, name: string): Buffer {
  const message = messages.get(name);
  if (message === undefined) throw new Error(`no golden message is named '${name}'`);
  return message.bytes;
}

/**
 * Asserts that the encoded messages equal the golden ones byte for byte, and that no golden message is missing.
 * @param headerBytes number of bytes before the msgpack value
 */
export function expectGolden(
  golden: ReadonlyMap<string, GoldenMessage>,
  encoded: readonly EncodedMessage[],
  headerBytes = 0,
): void {
  for (const { name, bytes } of encoded) {
    const known = golden.get(name);
    // Compares the JSON first, since its diff shows the field that differs.
    expect(plainText(bytes.subarray(headerBytes)), name).to.equal(known?.text);
    expect(Buffer.from(bytes).toString('hex'), name).to.equal(known?.bytes.toString('hex'));
  }
  expect(encoded.map(({ name }) => name)).to.have.members([...golden.keys()]);
}

/** Decodes a msgpack value and returns it as JSON, independently of the message types. */
export function plainText(bytes: Uint8Array): string {
  return JSON.stringify(plainValue(unpack(bytes)));
}

/** Represents bytes and undefined values, which JSON lacks. */
function plainValue(value: unknown): unknown {
  if (value === undefined) return '(undefined)';
  if (value instanceof Uint8Array) return `(bytes ${Buffer.from(value).toString('hex')})`;
  if (Array.isArray(value)) return value.map(plainValue);
  if (value === null || typeof value !== 'object') return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [name, plainValue(field)]),
  );
}
