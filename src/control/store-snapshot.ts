/** Stored form of the replicated state: the `data` of a snapshot on disk and between replicas. */
import type { StoredResource } from '../policy/stored-resource.js';
import type { AcceptedDeclaration } from './declaration-history.js';
import type { IdempotencyRecord } from './idempotency-records.js';

export interface StoreSnapshot {
  readonly revision: number;
  readonly resources: readonly StoredResource[];
  readonly remembered: readonly IdempotencyRecord[];
  /** Missing in snapshots written by versions without declared sets. */
  readonly declarations?: readonly AcceptedDeclaration[];
}
