/**
 * Which headers a proxy passes on. Hop-by-hop headers stay behind (RFC 9110, section 7.6.1), and so do shoredoor's own
 * headers, which are only believed between its processes.
 *
 * For: every transport and relay. Owns: the list of hop-by-hop headers and the prefix of our own. Relies on: its caller to
 * name the headers that it sets itself. Pure.
 */

/** Header names and values alternating, as in `IncomingMessage.rawHeaders`. */
export type RawHeaders = string[];

/** RFC 9110, section 7.6.1, and the older names that proxies still see; in lower case. */
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

/** Every header of our own begins like this; see docs/reference/headers.md. */
const SHOREDOOR_PREFIX = 'shoredoor-';

/** The value of a header in a raw list; the first where it stands several times. */
export function headerOf(raw: readonly string[], lowerName: string): string | undefined {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() === lowerName) return raw[index + 1];
  }
  return undefined;
}

/** Names listed in `Connection`, which are hop-by-hop for this message alone. */
function parseConnectionHeader(value: string | undefined): ReadonlySet<string> | undefined {
  if (value === undefined) return undefined;
  const lower = value.toLowerCase();
  if (lower === 'keep-alive' || lower === 'close') return undefined;
  return new Set(lower.split(',').map((name) => name.trim()));
}

/**
 * The headers of a message that are passed on.
 * @param raw names and values alternating
 * @param connection value of the message's `Connection` header
 * @param excluded further lower-case names that stay behind
 */
export function endToEndHeaders(
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
