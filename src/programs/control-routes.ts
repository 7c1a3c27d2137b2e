/** Routes requests to the APIs of a control replica by path. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { DECLARATIONS_PATH } from '../control/declaration-api.js';
import { REPLICATION_PATH } from '../control/replication-link.js';

/** Prefix of the paths that edges, nodes and sidecars use. */
const INTERNAL_PREFIX = '/internal/';

export interface RequestHandler {
  handle(message: IncomingMessage, response: ServerResponse): Promise<void>;
}

export interface RequestHandlers {
  readonly receiver: RequestHandler;
  readonly followerApi: RequestHandler;
  readonly declarationApi: RequestHandler;
  readonly resourceApi: RequestHandler;
}

/** Returns the handler for `path`. Unknown paths go to the resource API, which answers 404. */
export function handlerFor(path: string, handlers: RequestHandlers): RequestHandler {
  if (path === REPLICATION_PATH) return handlers.receiver;
  if (path === DECLARATIONS_PATH) return handlers.declarationApi;
  return path.startsWith(INTERNAL_PREFIX) ? handlers.followerApi : handlers.resourceApi;
}
