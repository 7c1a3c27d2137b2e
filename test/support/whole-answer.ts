/** Complete HTTP responses, for tests that compare them literally. */
import { request, type Dispatcher } from 'undici';

/** Request options besides the URL. */
export interface Sent {
  readonly method?: Dispatcher.HttpMethod;
  readonly headers?: Readonly<Record<string, string>>;
  /** Serialized as JSON unless it is a string or bytes. */
  readonly body?: unknown;
}

/** Headers that vary between responses or are specific to the connection. */
const PASSED_OVER: readonly string[] = ['date', 'connection', 'keep-alive', 'content-length'];

export interface WholeAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  /** The parsed JSON, or else the text. */
  readonly body: unknown;
}

/** Content types of control's responses. */
export const PROBLEM_TYPE = { 'content-type': 'application/problem+json' };
export const JSON_TYPE = { 'content-type': 'application/json' };

/** The expected problem response of control's APIs. @param members members that extend or override the common ones */
export function problemAnswer(
  status: number,
  type: string,
  detail: string,
  members: object = {},
): WholeAnswer {
  const body = { type: `urn:shoredoor:api:${type}`, title: type, status, detail };
  return { status, headers: PROBLEM_TYPE, body: { ...body, verdict: 'not-run', ...members } };
}

/** Sends a request and reads the complete response, without following redirects. */
export async function answerTo(url: string, sent: Sent = {}): Promise<WholeAnswer> {
  const { method = 'GET', headers = {}, body } = sent;
  const isRaw = typeof body === 'string' || Buffer.isBuffer(body);
  const payload = body === undefined ? null : isRaw ? body : JSON.stringify(body);
  const response = await request(url, { method, headers, body: payload });
  const text = await response.body.text();
  const entries = Object.entries(response.headers).filter(([name]) => !PASSED_OVER.includes(name));
  return {
    status: response.statusCode,
    headers: Object.fromEntries(entries),
    body: parsed(text),
  };
}

function parsed(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}
