/** Writes responses of control's APIs and of a sidecar's registration API. */
import type { ServerResponse } from 'node:http';
import type { ApiProblem } from './api-problem.js';

const JSON_TYPE = 'application/json';
const PROBLEM_TYPE = 'application/problem+json';
/** `Retry-After` while there is no leader, in seconds. */
const NO_QUORUM_RETRY_AFTER_SECONDS = '1';

export function writeJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'Content-Type': JSON_TYPE,
    'Content-Length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** Redirects the client to another replica with the same method and body (RFC 9110, section 15.4.8). */
export function writeRedirect(response: ServerResponse, location: string): void {
  response.writeHead(307, { Location: location, 'Content-Length': 0 });
  response.end();
}

/** Writes a problem as `application/problem+json`. */
export function writeProblem(response: ServerResponse, problem: ApiProblem): void {
  const { type, ...members } = problem;
  const body = { type: `urn:shoredoor:api:${type}`, title: type, ...members };
  const text = JSON.stringify(body);
  const headers: Record<string, string> = { 'Content-Type': PROBLEM_TYPE };
  if (type === 'unauthenticated') headers['WWW-Authenticate'] = 'Bearer';
  if (type === 'no-quorum') headers['Retry-After'] = NO_QUORUM_RETRY_AFTER_SECONDS;
  response.writeHead(problem.status, { ...headers, 'Content-Length': Buffer.byteLength(text) });
  response.end(text);
}
