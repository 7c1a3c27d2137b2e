/**
 * Selects the headers that a proxy forwards: all but the hop-by-hop headers (RFC 9110, section 7.6.1) and shoredoor's own
 * headers, which are trusted between its processes only.
 */

/** Header names and values alternating, as in `IncomingMessage.rawHeaders`. */
export type RawHeaders = string[];

/** Hop-by-hop headers of RFC 9110, section 7.6.1, and of older specifications, in lower case. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Prefix of shoredoor's own headers; see docs/reference/headers.md. */
const SHOREDOOR_PREFIX = 'shoredoor-';

/** Returns the first value of a header in a raw list. */
export function getRawHeader(raw: readonly string[], lowerName: string): string | undefined {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() === lowerName) return raw[index + 1];
  }
  return undefined;
}

/** Returns the names listed in `Connection`, which are hop-by-hop for this message. */
function parseConnectionHeader(value: string | undefined): ReadonlySet<string> | undefined {
  if (value === undefined) return undefined;
  const lower = value.toLowerCase();
  if (lower === 'keep-alive' || lower === 'close') return undefined;
  return new Set(lower.split(',').map((name) => name.trim()));
}

/**
 * Returns the headers of a message that are forwarded.
 * @param raw names and values alternating
 * @param connection value of the message's `Connection` header
 * @param excluded further names to drop, in lower case
 */
export function filterEndToEndHeaders(
  raw: readonly string[],
  connection: string | undefined,
  excluded: ReadonlySet<string>,
): RawHeaders {
  const options = parseConnectionHeader(connection);
  const kept: RawHeaders = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || excluded.has(lower) || lower.startsWith(SHOREDOOR_PREFIX))
      continue;
    if (options?.has(lower) === true) continue;
    kept.push(name, raw[index + 1]!);
  }
  return kept;
}
