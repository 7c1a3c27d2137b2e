/** Which part of a control replica answers a request, by its path. Owns nothing. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { DECLARATIONS_PATH } from '../control/declaration-api.js';
import { REPLICATION_PATH } from '../control/replication-link.js';

/** Paths of the messages of edges, nodes and sidecars. */
const INTERNAL_PREFIX = '/internal/';

/** Answers requests. */
export interface RequestHandler {
  handle(message: IncomingMessage, response: ServerResponse): Promise<void>;
}

/** The parts that answer. */
export interface RequestHandlers {
  readonly receiver: RequestHandler;
  readonly followerApi: RequestHandler;
  readonly declarationApi: RequestHandler;
  readonly resourceApi: RequestHandler;
}

/** The part that answers requests to `path`; the API of resources answers unknown ones, with 404. */
export function handlerFor(path: string, handlers: RequestHandlers): RequestHandler {
  if (path === REPLICATION_PATH) return handlers.receiver;
  if (path === DECLARATIONS_PATH) return handlers.declarationApi;
  return path.startsWith(INTERNAL_PREFIX) ? handlers.followerApi : handlers.resourceApi;
}
