/** Client of the resource API, for the command line. Tries every replica and follows redirects to the leader. */
import { RequestError } from '../common/errors.js';
import type { ResourceId, StoredResource } from '../policy/stored-resource.js';
import type { StatusReport } from '../sync/status-report.js';
import type { WatchEvent } from '../sync/watch-event.js';
import type { Resource } from '../policy/resource-schema.js';
import {
  expectOk,
  MAX_ROUNDS,
  createNoAnswerError,
  pauseBetweenRounds,
  ReplicaClient,
  type ApiAnswer,
  type ControlAccess,
} from './replica-client.js';

export interface ChangeOptions {
  /** Sent as `Idempotency-Key`; must be the same when the change is sent again. */
  readonly changeId: string;
  /** Version that the resource must have; `absent` if it must not exist. */
  readonly expect?: number | 'absent';
  readonly dryRun?: boolean;
}

export interface ResourceList {
  readonly revision: number;
  readonly items: readonly StoredResource[];
}

function resourcePath(id: ResourceId): string {
  return `/v1/resources/${id.kind}/${id.name}`;
}

export class ResourceClient {
  private readonly replicaClient: ReplicaClient;

  constructor(private readonly access: ControlAccess) {
    this.replicaClient = new ReplicaClient(access);
  }

  async put(resource: Resource, change: ChangeOptions): Promise<ApiAnswer> {
    return this.replicaClient.send({
      method: 'PUT',
      path: resourcePath(resource) + dryRunQuery(change),
      headers: changeHeaders(change),
      body: JSON.stringify(resource),
    });
  }

  async delete(id: ResourceId, change: ChangeOptions): Promise<ApiAnswer> {
    return this.replicaClient.send({
      method: 'DELETE',
      path: resourcePath(id) + dryRunQuery(change),
      headers: changeHeaders(change),
    });
  }

  async get(id: ResourceId): Promise<ApiAnswer> {
    return this.replicaClient.send({ method: 'GET', path: resourcePath(id) });
  }

  /** @throws RequestError when no replica answers, or with a status other than 200 */
  async list(): Promise<ResourceList> {
    const answer = await this.replicaClient.send({ method: 'GET', path: '/v1/resources' });
    return expectOk(answer) as ResourceList;
  }

  /** @throws RequestError when no replica answers, or with a status other than 200 */
  async status(): Promise<StatusReport> {
    const answer = await this.replicaClient.send({ method: 'GET', path: '/v1/status' });
    return expectOk(answer) as StatusReport;
  }

  /**
   * Watches the changes after revision `from`, switching replicas when one fails. Ends after a `relist` event.
   * @throws RequestError when a replica answers with an error status, or when none can be reached
   */
  async *watch(from: number): AsyncGenerator<WatchEvent> {
    let revision = from;
    let failures = 0;
    for (let index = 0; ; index += 1) {
      const origin = this.access.origins[index % this.access.origins.length]!;
      try {
        for await (const event of this.replicaClient.watch(origin, revision)) {
          failures = 0;
          if (event.type === 'change') revision = event.change.revision;
          yield event;
          if (event.type === 'relist') return;
        }
      } catch (error) {
        if (error instanceof RequestError && error.status !== 0) throw error;
        failures += 1;
        if (failures > MAX_ROUNDS * this.access.origins.length) throw createNoAnswerError(error);
        await pauseBetweenRounds();
      }
    }
  }
}

function dryRunQuery(change: ChangeOptions): string {
  return change.dryRun === true ? '?dryRun=true' : '';
}

function changeHeaders(change: ChangeOptions): Record<string, string> {
  const headers: Record<string, string> = {
    'idempotency-key': change.changeId,
    'content-type': 'application/json',
  };
  if (change.expect === 'absent') headers['if-none-match'] = '*';
  else if (change.expect !== undefined) headers['if-match'] = `"${change.expect}"`;
  return headers;
}
