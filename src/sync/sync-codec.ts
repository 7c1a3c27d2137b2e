/**
 * The wire form of an answer to a sync. Its configuration part is the same for all followers at one
 * revision, and large after a change of many routes: it is encoded and compressed once, as bytes of its
 * own within the message.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { decodeMessage, encodeMessage } from '../common/message-codec.js';
import type { SyncResponse } from './sync-protocol.js';

/** What an answer brings of the configuration. */
export type ConfigurationNews = Pick<SyncResponse, 'revision' | 'resources' | 'changes'>;

/** What an answer brings of the endpoints. */
export type EndpointNews = Omit<SyncResponse, keyof ConfigurationNews>;

/** A {@link ConfigurationNews} as bytes. */
export interface PackedConfiguration {
  readonly isCompressed: boolean;
  readonly bytes: Uint8Array;
}

/** A {@link SyncResponse} as it is sent. */
export interface PackedSync extends EndpointNews {
  readonly configuration: PackedConfiguration;
}

/** Smaller parts are sent as they are: compressing them saves less than a packet, in bytes. */
const MIN_COMPRESSED_BYTES = 1_400;

/** Encodes the configuration part. */
export function packConfiguration(news: ConfigurationNews): PackedConfiguration {
  const bytes = encodeMessage(news);
  if (bytes.length < MIN_COMPRESSED_BYTES) return { isCompressed: false, bytes };
  return { isCompressed: true, bytes: deflateRawSync(bytes) };
}

/** Decodes an answer. Throws where the bytes are no such message. */
export function unpackSync({ configuration, ...endpointNews }: PackedSync): SyncResponse {
  const { isCompressed, bytes } = configuration;
  const plain = isCompressed ? inflateRawSync(bytes) : bytes;
  return { ...decodeMessage<ConfigurationNews>(plain), ...endpointNews };
}
