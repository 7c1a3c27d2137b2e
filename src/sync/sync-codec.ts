/**
 * Encoding of sync responses. The configuration part is identical for all followers at one revision and may be large, so it
 * is encoded and compressed once and embedded in each response as bytes.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { decodeMessage, encodeMessage } from '../common/message-codec.js';
import type { SyncResponse } from './sync-protocol.js';

/** The configuration part of a response. */
export type ConfigurationUpdate = Pick<SyncResponse, 'revision' | 'resources' | 'changes'>;

/** The endpoint part of a response. */
export type EndpointUpdate = Omit<SyncResponse, keyof ConfigurationUpdate>;

/** An encoded {@link ConfigurationUpdate}. */
export interface PackedConfiguration {
  readonly isCompressed: boolean;
  readonly bytes: Uint8Array;
}

/** The wire format of a {@link SyncResponse}. */
export interface PackedSync extends EndpointUpdate {
  readonly configuration: PackedConfiguration;
}

/** Minimum size for compression, in bytes: about one packet, below which compression saves nothing. */
const MIN_COMPRESSED_BYTES = 1_400;

/** Encodes the configuration part, compressed if it is large. */
export function packConfiguration(news: ConfigurationUpdate): PackedConfiguration {
  const bytes = encodeMessage(news);
  if (bytes.length < MIN_COMPRESSED_BYTES) return { isCompressed: false, bytes };
  return { isCompressed: true, bytes: deflateRawSync(bytes) };
}

/**
 * Decodes a response.
 * @throws if the configuration part cannot be decompressed or decoded
 */
export function unpackSync({ configuration, ...endpointNews }: PackedSync): SyncResponse {
  const { isCompressed, bytes } = configuration;
  const plain = isCompressed ? inflateRawSync(bytes) : bytes;
  return { ...decodeMessage<ConfigurationUpdate>(plain), ...endpointNews };
}
