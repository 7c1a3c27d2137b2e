/** Stored form of the replicated state: the `data` of a snapshot on disk and between replicas. */
import type { StoredResource } from '../policy/stored-resource.js';
import type { CeilingRecord } from '../quota/ceiling-record.js';
import type { AcceptedDeclaration } from './declaration-history.js';
import type { IdempotencyRecord } from './idempotency-records.js';

export interface StoreSnapshot {
  readonly revision: number;
  readonly resources: readonly StoredResource[];
  readonly remembered: readonly IdempotencyRecord[];
  /** Missing in snapshots written by versions without declared sets. */
  readonly declarations?: readonly AcceptedDeclaration[];
  /** Missing in snapshots written by versions without ceilings, and before the first record. */
  readonly quotaCeilings?: CeilingRecord;
}
