/**
 * MessagePack encoding of the messages between processes and of stored records. Other versions read them as well, so
 * fields may be added but not renamed.
 */
import { pack, unpack } from 'msgpackr';

/** Media type of encoded messages over HTTP. */
export const MSGPACK_TYPE = 'application/msgpack';

/** Encodes a message or a stored record. */
export function encodeMessage(message: unknown): Buffer {
  return pack(message);
}

/**
 * Decodes a message or a stored record. The type is not checked: call this only for bytes from an authenticated peer or
 * with a valid checksum.
 */
export function decodeMessage<Message>(bytes: Uint8Array): Message {
  return unpack(bytes) as Message;
}
