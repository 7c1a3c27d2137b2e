/**
 * A caller's request as it is sent on over HTTP.
 *
 * For: the transports of edges and nodes. Owns: which headers are replaced, and what of the request stays as it is.
 * Relies on: `header-filter.ts`; each transport adds its own headers.
 */
import type { IncomingMessage } from 'node:http';
import type { Dispatcher } from 'undici';
import type { Attempt } from '../call/transport.js';
import { endToEndHeaders, type RawHeaders } from './header-filter.js';
import type { RelayHandler } from './relay-handler.js';
import type { RequestBody } from './request-body.js';

/** The trace context is set anew for each hop; `Expect` was answered when the caller sent it. */
const REPLACED_HEADERS: ReadonlySet<string> = new Set(['traceparent', 'expect']);

/** The caller's headers that are sent on. */
export function filterRequestHeaders(message: IncomingMessage): RawHeaders {
  return endToEndHeaders(message.rawHeaders, message.headers.connection, REPLACED_HEADERS);
}

/** What is sent on, and with which headers. */
interface ForwardedRequest {
  readonly message: IncomingMessage;
  readonly body: RequestBody;
  readonly headers: RawHeaders;
}

/** Sends the request on; `handler` gets the answer and is the attempt under way. */
export function forwardRequest(
  dispatcher: Dispatcher,
  { message, body, headers }: ForwardedRequest,
  handler: RelayHandler,
): Attempt {
  dispatcher.dispatch(
    {
      method: message.method as Dispatcher.HttpMethod,
      path: message.url ?? '/',
      headers,
      body: body.content,
    },
    handler,
  );
  return handler;
}
