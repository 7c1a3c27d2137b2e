/**
 * Files of golden messages: what one version of the programs has sent, kept as literal bytes, so that
 * neither a renamed type nor a moved module changes what goes over the wire unseen.
 *
 * A file holds a block of three lines a message: its name, its bytes in hexadecimal, and the JSON text
 * of what any msgpack reader finds in them. Lines that begin with `#` are comments.
 *
 * A deliberate change of the wire leaves the blocks here as they are, since processes of the version
 * before send these bytes while a deployment is updated: it adds a block with a name of its own for the
 * new bytes, and the test goes on decoding the old ones.
 */
import { expect } from 'chai';
import { unpack } from 'msgpackr';
import { readFileSync } from 'node:fs';

/** From the root, where the tests are started. */
const FOLDER = 'test/golden';
const LINES_OF_BLOCK = 3;

/** One message as it is sent. */
export interface GoldenMessage {
  readonly bytes: Buffer;
  /** JSON text of what the bytes hold. */
  readonly text: string;
}

/** A message that the present code has encoded. */
export interface EncodedMessage {
  readonly name: string;
  readonly bytes: Uint8Array;
}

/** Reads the golden messages of a file, by name. */
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

/** The bytes of one golden message. */
export function goldenBytes(messages: ReadonlyMap<string, GoldenMessage>, name: string): Buffer {
  const message = messages.get(name);
  if (message === undefined) throw new Error(`no golden message is named '${name}'`);
  return message.bytes;
}

/**
 * Expects that the messages are encoded as the golden ones, byte by byte, and that each golden one is among them.
 * @param headerBytes bytes before the msgpack value
 */
export function expectGolden(
  golden: ReadonlyMap<string, GoldenMessage>,
  encoded: readonly EncodedMessage[],
  headerBytes = 0,
): void {
  for (const { name, bytes } of encoded) {
    const known = golden.get(name);
    // The texts first: their difference names the field.
    expect(plainText(bytes.subarray(headerBytes)), name).to.equal(known?.text);
    expect(Buffer.from(bytes).toString('hex'), name).to.equal(known?.bytes.toString('hex'));
  }
  expect(encoded.map(({ name }) => name)).to.have.members([...golden.keys()]);
}

/** The JSON text of a msgpack value, without any knowledge of its type. */
export function plainText(bytes: Uint8Array): string {
  return JSON.stringify(plainValue(unpack(bytes)));
}

/** JSON has neither bytes nor undefined values. */
function plainValue(value: unknown): unknown {
  if (value === undefined) return '(undefined)';
  if (value instanceof Uint8Array) return `(bytes ${Buffer.from(value).toString('hex')})`;
  if (Array.isArray(value)) return value.map(plainValue);
  if (value === null || typeof value !== 'object') return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [name, plainValue(field)]),
  );
}
