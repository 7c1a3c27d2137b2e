/**
 * The encoding of everything that the system's own processes exchange and store: msgpack. Owns nothing; relies on msgpackr.
 * Messages and stored records outlive a version, so fields are added and never renamed.
 */
import { pack, unpack } from 'msgpackr';

/** Media type of such messages over HTTP. */
export const MSGPACK_TYPE = 'application/msgpack';

/** Encodes a message or a stored record. */
export function encodeMessage(message: unknown): Buffer {
  return pack(message);
}

/**
 * Decodes a message or a stored record. The caller vouches for the type: the sender holds the link
 * token, or the bytes passed their checksum.
 */
export function decodeMessage<Message>(bytes: Uint8Array): Message {
  return unpack(bytes) as Message;
}
