/**
 * Format of declared sets in the bodies of the declaration API; deployments can supply their own. The resources are validated
 * after decoding, in `policy/route-schema.ts`.
 */

/** A declared set as exchanged with operators. */
export interface DeclarationDocument {
  /** Chosen by the operator; must be greater than all previous versions. */
  readonly version: number;
  /** Resources with `kind`, `name` and `spec`; not yet validated. */
  readonly resources: readonly unknown[];
}

/** Decodes and encodes bodies of the declaration API. */
export interface DeclarationCodec {
  /** Decodes a parsed JSON body; undefined when it does not have the expected format. */
  decode(body: unknown): DeclarationDocument | undefined;
  /** Returns the JSON value to send for a set. */
  encode(document: DeclarationDocument): unknown;
}

/** Default format: `{ "version": 7, "resources": [{ "kind": …, "name": …, "spec": … }] }` */
export const PLAIN_DECLARATION_CODEC: DeclarationCodec = {
  decode: (body) => {
    if (typeof body !== 'object' || body === null) return undefined;
    const { version, resources } = body as Partial<DeclarationDocument>;
    if (typeof version !== 'number' || !Number.isSafeInteger(version)) return undefined;
    return Array.isArray(resources) ? { version, resources } : undefined;
  },
  encode: (document) => document,
};
