/**
 * Resource API for operators: list, get, put, delete, dry run, watch, status. Conditional requests follow RFC 9110, section 13; the
 * change id is sent as `Idempotency-Key`. The store accepts or rejects a change once it is committed.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Logger } from '../common/logger.js';
import {
  DECLARED_KINDS,
  DELETABLE_KINDS,
  resourceFaults,
  parseResource,
} from '../policy/resource-schema.js';
import type { ResourceKind } from '../policy/resource-schema.js';
import type { AccessRole, AccessToken, AccessTokens } from './access-tokens.js';
import { apiProblem } from '../http/api-problem.js';
import { readJsonBody } from '../http/api-request.js';
import { writeJson, writeProblem } from '../http/api-response.js';
import { entityTag, writeRefusal, writeResult } from './change-answer.js';
import { readChangeHeaders, resourceIdFromPath } from './change-request.js';
import type { CommandLog } from './command-log.js';
import type { ResourceCommand } from './commands.js';
import type { ResourceStore } from './resource-store.js';
import type { ResourceId } from '../policy/stored-resource.js';
import type { StatusReport } from '../sync/status-report.js';
import type { WatchStreams } from './watch-streams.js';

export interface ResourceApiOptions {
  readonly store: ResourceStore;
  readonly log: CommandLog;
  readonly tokens: AccessTokens;
  readonly watches: WatchStreams;
  readonly status: () => StatusReport;
  /** Wall-clock time in milliseconds, recorded with changes for display. */
  readonly wallClock: () => number;
  readonly logger: Logger;
}

/** Maximum body size of a change in bytes. */
const MAX_BODY_BYTES = 1024 * 1024;
const RESOURCES_PATH = '/v1/resources';

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
    if (!(await this.awaitReadBarrier(request))) return;
    const kind = request.url.searchParams.get('kind');
    const items = this.options.store
      .list()
      .filter((stored) => kind === null || stored.resource.kind === kind);
    writeJson(request.response, 200, { revision: this.options.store.revision, items });
  }

  private async get(request: ApiRequest, id: ResourceId): Promise<void> {
    if (!(await this.awaitReadBarrier(request))) return;
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

  /** Proposes a change, or previews it for a dry run, and writes the response. */
  private async change(
    request: ApiRequest,
    build: (base: Omit<ResourceCommand, 'type' | 'resource' | 'target'>) => ResourceCommand,
  ): Promise<void> {
    const headers = readChangeHeaders(request.message.headers);
    if (headers.type === 'invalid') {
      writeProblem(request.response, apiProblem('invalid', headers.detail));
      return;
    }
    const { changeId, precondition } = headers;
    const actor = request.holder.name;
    const command = build({ changeId, actor, at: this.options.wallClock(), precondition });
    if (request.url.searchParams.get('dryRun') === 'true') await this.preview(request, command);
    else await this.propose(request, command);
  }

  private async preview(request: ApiRequest, command: ResourceCommand): Promise<void> {
    if (!(await this.awaitReadBarrier(request))) return;
    writeResult(request.response, this.options.store.preview(command), true);
  }

  private async propose(request: ApiRequest, command: ResourceCommand): Promise<void> {
    const { logger, log } = this.options;
    const { actor, changeId, type: change } = command;
    const outcome = await log.propose(command);
    if (outcome.type === 'refused') {
      const { refusal } = outcome;
      const { type: cause } = refusal;
      logger.info('A change request was answered.', {
        actor,
        changeId,
        change,
        result: 'refused',
        cause,
      });
      writeRefusal(request.response, refusal, pathOf(request), 'may-have-run');
      return;
    }
    const result = outcome.result.type;
    logger.info('A change request was answered.', { actor, changeId, change, result });
    writeResult(request.response, outcome.result, false);
  }

  /** Waits for a read barrier; on refusal writes the response and returns false. */
  private async awaitReadBarrier(request: ApiRequest): Promise<boolean> {
    const refusal = await this.options.log.readBarrier();
    if (refusal === undefined) return true;
    writeRefusal(request.response, refusal, pathOf(request), 'not-run');
    return false;
  }
}

function allows(role: AccessRole, wanted: AccessRole): boolean {
  return role === 'write' || wanted === 'read';
}

function pathOf({ message }: ApiRequest): string {
  return message.url ?? '';
}
