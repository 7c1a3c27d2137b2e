/** Forwards a caller's request over HTTP, for the transports of edges and nodes. */
import type { IncomingMessage } from 'node:http';
import type { Dispatcher } from 'undici';
import type { Attempt } from '../call/transport.js';
import { filterEndToEndHeaders, type RawHeaders } from './header-filter.js';
import type { RelayHandler } from './relay-handler.js';
import type { RequestBody } from './request-body.js';

/** Each hop sets its own trace context; `Expect` has already been answered. */
const REPLACED_HEADERS: ReadonlySet<string> = new Set(['traceparent', 'expect']);

/** Returns the caller's headers that are forwarded. */
export function filterRequestHeaders(message: IncomingMessage): RawHeaders {
  return filterEndToEndHeaders(message.rawHeaders, message.headers.connection, REPLACED_HEADERS);
}

interface ForwardedRequest {
  readonly message: IncomingMessage;
  readonly body: RequestBody;
  readonly headers: RawHeaders;
}

/** Dispatches the request. `handler` receives the answer and is returned as the attempt. */
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
