/**
 * The resource API for operators: list, get, put, delete, dry run, watch, status. Conditional
 * requests follow RFC 9110, section 13; a change id travels as `Idempotency-Key`.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Logger } from '../common/logger.js';
import {
  DECLARED_KINDS,
  DELETABLE_KINDS,
  RESOURCE_KINDS,
  resourceFaults,
  parseResource,
} from '../policy/resource-schema.js';
import type { ResourceKind } from '../policy/resource-schema.js';
import type { AccessRole, AccessToken, AccessTokens } from './access-tokens.js';
import { apiProblem, type ApiProblem } from '../http/api-problem.js';
import { readJsonBody } from '../http/api-request.js';
import { writeJson, writeProblem, writeRedirect } from '../http/api-response.js';
import type { CommandLog, LogRefusal } from './command-log.js';
import type { Precondition, ResourceCommand, ResourceResult } from './commands.js';
import type { ResourceStore } from './resource-store.js';
import type { ResourceId, StoredResource } from '../policy/stored-resource.js';
import type { StatusReport } from '../sync/status-report.js';
import type { WatchStreams } from './watch-streams.js';

/** What the API is made of. */
export interface ResourceApiOptions {
  readonly store: ResourceStore;
  readonly log: CommandLog;
  readonly tokens: AccessTokens;
  readonly watches: WatchStreams;
  readonly status: () => StatusReport;
  /** Wall-clock milliseconds, recorded with changes for people. */
  readonly wallClock: () => number;
  readonly logger: Logger;
}

const MAX_BODY_BYTES = 1024 * 1024;
const RESOURCES_PATH = '/v1/resources';
const RESOURCE_PATH = /^\/v1\/resources\/([A-Za-z]+)\/([a-z0-9-]+)$/;
const ENTITY_TAG = /^"(\d+)"$/;
const MAX_CHANGE_ID_LENGTH = 128;

interface ApiRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly holder: AccessToken;
}

export class ResourceApi {
  constructor(private readonly options: ResourceApiOptions) {}

  /** Handles a request whose path starts with `/v1/`. */
  async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://control');
    const holder = this.options.tokens.find(message.headers.authorization);
    if (holder === undefined) {
      writeProblem(response, apiProblem('unauthenticated', 'A known bearer token is needed.'));
      return;
    }
    await this.route({ message, response, url, holder });
  }

  private async route(request: ApiRequest): Promise<void> {
    const { message, response, url } = request;
    const isRead = message.method === 'GET';
    const target = resourceIdFromPath(url.pathname);
    if (isRead && url.pathname === '/v1/status') writeJson(response, 200, this.options.status());
    else if (isRead && url.pathname === RESOURCES_PATH) await this.list(request);
    else if (isRead && url.pathname === '/v1/watch') this.watch(request);
    else if (target === undefined) {
      writeProblem(response, apiProblem('not-found', 'There is nothing at this path.'));
    } else if (isRead) await this.get(request, target);
    else if (message.method === 'PUT') await this.put(request, target);
    else if (message.method === 'DELETE') await this.delete(request, target);
    else {
      const problem = apiProblem('method-not-allowed', 'Allowed here: GET, PUT, DELETE.');
      writeProblem(response, problem);
    }
  }

  private async list(request: ApiRequest): Promise<void> {
    if (!(await this.passBarrier(request))) return;
    const kind = request.url.searchParams.get('kind');
    const items = this.options.store
      .list()
      .filter((stored) => kind === null || stored.resource.kind === kind);
    writeJson(request.response, 200, { revision: this.options.store.revision, items });
  }

  private async get(request: ApiRequest, id: ResourceId): Promise<void> {
    if (!(await this.passBarrier(request))) return;
    const stored = this.options.store.get(id);
    if (stored === undefined) {
      const problem = apiProblem('not-found', `There is no ${id.kind} '${id.name}'.`);
      writeProblem(request.response, problem);
      return;
    }
    writeJson(request.response, 200, stored, entityTag(stored.version));
  }

  private watch(request: ApiRequest): void {
    const from = Number(request.url.searchParams.get('from') ?? this.options.store.revision);
    const { store, watches } = this.options;
    if (!Number.isInteger(from) || from < store.oldestResumable || from > store.revision) {
      const detail = 'Changes from this revision are no longer kept: list again, then watch.';
      const problem = apiProblem('gone', detail, { oldestRevision: store.oldestResumable });
      writeProblem(request.response, problem);
      return;
    }
    watches.open(request.response, from);
  }

  private async put(request: ApiRequest, id: ResourceId): Promise<void> {
    if (!this.mayWrite(request, id)) return;
    const body = await readJsonBody(request.message, MAX_BODY_BYTES);
    if (body.type === 'problem') {
      writeProblem(request.response, body.problem);
      return;
    }
    const { value } = body;
    const faults = resourceFaults(value);
    if (faults.length > 0) {
      const problem = apiProblem('invalid', 'The resource is not valid.', { faults });
      writeProblem(request.response, problem);
      return;
    }
    const resource = parseResource(value);
    if (resource.kind !== id.kind || resource.name !== id.name) {
      const detail = `The body declares ${resource.kind} '${resource.name}', not what the path names.`;
      writeProblem(request.response, apiProblem('invalid', detail));
      return;
    }
    await this.change(request, (base) => ({ ...base, type: 'put', resource }));
  }

  private async delete(request: ApiRequest, id: ResourceId): Promise<void> {
    if (!this.mayWrite(request, id, DELETABLE_KINDS)) return;
    await this.change(request, (base) => ({ ...base, type: 'delete', target: id }));
  }

  private mayWrite(
    request: ApiRequest,
    id: ResourceId,
    kinds: readonly ResourceKind[] = DECLARED_KINDS,
  ): boolean {
    const isDeclared = kinds.includes(id.kind);
    if (isDeclared && allows(request.holder.role, 'write')) return true;
    const detail = isDeclared
      ? 'The token allows reading only.'
      : `A ${id.kind} is not declared alone: it belongs to a set or to the system itself.`;
    writeProblem(request.response, apiProblem('forbidden', detail));
    return false;
  }

  /** Replicates a change, or previews it for a dry run, and answers. */
  private async change(
    request: ApiRequest,
    build: (base: Omit<ResourceCommand, 'type' | 'resource' | 'target'>) => ResourceCommand,
  ): Promise<void> {
    const { headers } = request.message;
    const precondition = readPrecondition(headers['if-match'], headers['if-none-match']);
    const changeId = headers['idempotency-key'] ?? randomUUID();
    if (precondition === undefined || typeof changeId !== 'string' || changeId === '') {
      const detail = 'If-Match takes one entity tag or *, If-None-Match takes *.';
      writeProblem(request.response, apiProblem('invalid', detail));
      return;
    }
    if (changeId.length > MAX_CHANGE_ID_LENGTH) {
      const detail = `Idempotency-Key takes at most ${MAX_CHANGE_ID_LENGTH} characters.`;
      writeProblem(request.response, apiProblem('invalid', detail));
      return;
    }
    const actor = request.holder.name;
    const command = build({ changeId, actor, at: this.options.wallClock(), precondition });
    if (request.url.searchParams.get('dryRun') === 'true') {
      if (!(await this.passBarrier(request))) return;
      this.answer(request.response, this.options.store.preview(command), true);
      return;
    }
    const outcome = await this.options.log.propose(command);
    if (outcome.type === 'refused') {
      const isNotRun = outcome.refusal.type === 'not-leader';
      writeRefusal(request, outcome.refusal, isNotRun ? 'not-run' : 'may-have-run');
      return;
    }
    this.options.logger.info('A change was answered.', {
      actor,
      changeId,
      change: command.type,
      result: outcome.result.type,
    });
    this.answer(request.response, outcome.result, false);
  }

  private answer(response: ServerResponse, result: ResourceResult, dryRun: boolean): void {
    if (result.type === 'accepted' || result.type === 'unchanged') {
      const status = result.type === 'accepted' && result.created ? 201 : 200;
      const headers = dryRun ? {} : entityTag(result.revision);
      writeJson(response, status, { ...result, dryRun }, headers);
      return;
    }
    writeProblem(response, problemOf(result));
  }

  /** Waits until the state is current; answers and returns false when it cannot be made so. */
  private async passBarrier(request: ApiRequest): Promise<boolean> {
    const refusal = await this.options.log.readBarrier();
    if (refusal === undefined) return true;
    writeRefusal(request, refusal, 'not-run');
    return false;
  }
}

function allows(role: AccessRole, wanted: AccessRole): boolean {
  return role === 'write' || wanted === 'read';
}

function resourceIdFromPath(path: string): ResourceId | undefined {
  const match = RESOURCE_PATH.exec(path);
  const kind = match?.[1] as ResourceKind | undefined;
  const name = match?.[2];
  if (kind === undefined || name === undefined || !RESOURCE_KINDS.includes(kind)) return undefined;
  return { kind, name };
}

function entityTag(version: number): Record<string, string> {
  return { ETag: `"${version}"` };
}

/** Reads the conditional headers; undefined when they cannot be understood. */
function readPrecondition(
  ifMatch: string | undefined,
  ifNoneMatch: string | undefined,
): Precondition | undefined {
  if (ifNoneMatch !== undefined) return ifNoneMatch === '*' ? 'absent' : undefined;
  if (ifMatch === undefined || ifMatch === '*') return 'any';
  const version = ENTITY_TAG.exec(ifMatch)?.[1];
  return version === undefined ? undefined : Number(version);
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

/** Answers that replication refused: points to the leader where one is known. */
function writeRefusal(
  request: ApiRequest,
  refusal: LogRefusal,
  verdict: 'not-run' | 'may-have-run',
): void {
  const { response, message } = request;
  if (refusal.type === 'not-leader' && refusal.leaderOrigin !== undefined) {
    writeRedirect(response, refusal.leaderOrigin + (message.url ?? ''));
    return;
  }
  if (refusal.type === 'storage-failed') {
    const detail = 'The disk of this replica failed; it accepts nothing.';
    writeProblem(response, apiProblem('storage-failed', detail, { verdict }));
    return;
  }
  const known = refusal.type === 'not-leader' ? 'not-run' : verdict;
  const detail = 'No quorum of control replicas can be reached now.';
  writeProblem(response, apiProblem('no-quorum', detail, { verdict: known }));
}
