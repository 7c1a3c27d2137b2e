/** Whole answers over HTTP, for tests that compare them literally. */
import { request, type Dispatcher } from 'undici';

/** What is sent besides the URL. */
export interface Sent {
  readonly method?: Dispatcher.HttpMethod;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON, unless it is a text or bytes. */
  readonly body?: unknown;
}

/** Headers that differ from answer to answer, or belong to the connection. */
const PASSED_OVER: readonly string[] = ['date', 'connection', 'keep-alive', 'content-length'];

/** A whole answer. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  /** Parsed where it is JSON, or else the text. */
  readonly body: unknown;
}

/** The media types of control's answers. */
export const PROBLEM_TYPE = { 'content-type': 'application/problem+json' };
export const JSON_TYPE = { 'content-type': 'application/json' };

/** A problem of control's APIs. @param members besides those that all have, or in their place */
export function problemAnswer(
  status: number,
  type: string,
  detail: string,
  members: object = {},
): WholeAnswer {
  const body = { type: `urn:shoredoor:api:${type}`, title: type, status, detail };
  return { status, headers: PROBLEM_TYPE, body: { ...body, verdict: 'not-run', ...members } };
}

/** Sends a request and reads the whole answer; a redirect is an answer. */
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
