/**
 * How a declared set is laid out in the bodies of the declaration API. A deployment may bring a layout of its own; the content
 * is validated in `policy/route-schema.ts`.
 */

/** A declared set as operators send and read it. */
export interface DeclarationDocument {
  /** Chosen by the operator; higher than every earlier one. */
  readonly version: number;
  /** Each with `kind`, `name` and `spec`; not yet validated. */
  readonly resources: readonly unknown[];
}

/** Reads and writes the bodies of the declaration API. */
export interface DeclarationCodec {
  /** The set in a parsed JSON body; undefined when it is not laid out as one. */
  decode(body: unknown): DeclarationDocument | undefined;
  /** The JSON value of a set. */
  encode(document: DeclarationDocument): unknown;
}

/** `{ "version": 7, "resources": [{ "kind": …, "name": …, "spec": … }] }` */
export const PLAIN_DECLARATION_CODEC: DeclarationCodec = {
  decode: (body) => {
    if (typeof body !== 'object' || body === null) return undefined;
    const { version, resources } = body as Partial<DeclarationDocument>;
    if (typeof version !== 'number' || !Number.isSafeInteger(version)) return undefined;
    return Array.isArray(resources) ? { version, resources } : undefined;
  },
  encode: (document) => document,
};
