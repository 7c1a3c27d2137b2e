/**
 * Writes HTTP responses for changes and reads: results of the replicated store, and refusals by replication. A refusal carries a
 * verdict that says whether the change may still take effect.
 */
import type { ServerResponse } from 'node:http';
import type { Verdict } from '../common/verdict.js';
import { apiProblem, type ApiProblem } from '../http/api-problem.js';
import { writeJson, writeProblem, writeRedirect } from '../http/api-response.js';
import type { StoredResource } from '../policy/stored-resource.js';
import type { LogRefusal } from './command-log.js';
import type { ResourceResult } from './commands.js';
import { HttpStatus } from '../common/http-status.js';

/** Builds the `ETag` header of a resource at `version`. */
export function entityTag(version: number): Record<string, string> {
  return { ETag: `"${version}"` };
}

/** Writes the result of a change or, with `dryRun`, of its preview. */
export function writeResult(
  response: ServerResponse,
  result: ResourceResult,
  dryRun: boolean,
): void {
  if (result.type === 'accepted' || result.type === 'unchanged') {
    const isCreated = result.type === 'accepted' && result.created;
    const headers = dryRun ? {} : entityTag(result.revision);
    writeJson(
      response,
      isCreated ? HttpStatus.Created : HttpStatus.Ok,
      { ...result, dryRun },
      headers,
    );
    return;
  }
  writeProblem(response, problemOf(result));
}

/**
 * Writes a refusal by replication; redirects to the leader when it is known.
 * @param path path and query of the request, appended to the leader's origin
 * @param verdict verdict of any refusal other than `not-leader`, which is always `not-run`
 */
export function writeRefusal(
  response: ServerResponse,
  refusal: LogRefusal,
  path: string,
  verdict: Verdict,
): void {
  if (refusal.type !== 'not-leader') writeProblem(response, refusalProblem(refusal, verdict));
  else if (refusal.leaderOrigin !== undefined) writeRedirect(response, refusal.leaderOrigin + path);
  else writeProblem(response, refusalProblem(refusal, 'not-run'));
}

/** Builds the problem response for a refusal by replication. */
export function refusalProblem({ type }: LogRefusal, verdict: Verdict): ApiProblem {
  if (type === 'storage-failed') {
    const detail = 'The disk of this replica failed; it accepts nothing.';
    return apiProblem('storage-failed', detail, { verdict });
  }
  const detail = 'No quorum of control replicas can be reached now.';
  return apiProblem('no-quorum', detail, { verdict });
}

type FailedResult = Exclude<ResourceResult, { type: 'accepted' } | { type: 'unchanged' }>;

function problemOf(result: FailedResult): ApiProblem {
  switch (result.type) {
    case 'conflict': {
      const current: StoredResource | null = result.current ?? null;
      return apiProblem('conflict', 'The resource stands at another version.', { current });
    }
    case 'not-found':
      return apiProblem('not-found', 'The resource does not exist.');
    case 'invalid':
      return apiProblem('invalid', 'The resource conflicts with others.', {
        faults: result.faults,
      });
    case 'change-id-reused':
      return apiProblem('change-id-reused', 'This change id was used for another change.');
  }
}
