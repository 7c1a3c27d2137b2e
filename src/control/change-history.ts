/**
 * Recently accepted changes of one replica, so that followers and watchers can resume from a revision. Kept in memory only: after
 * a restart or a snapshot from the leader, clients that are behind receive a full list instead.
 */
import type { ResourceChange } from '../policy/stored-resource.js';

/** Maximum number of changes kept; bounds memory. */
const MAX_CHANGES = 2_000;

export class ChangeHistory {
  private changes: ResourceChange[] = [];

  /** Oldest revision from which {@link since} can resume when the store is at revision `current`. */
  oldestResumable(current: number): number {
    const first = this.changes[0];
    return first === undefined ? current : first.revision - 1;
  }

  /** Changes after `revision` in order; undefined when some of them were evicted or `revision` is in the future. */
  since(revision: number, current: number): ResourceChange[] | undefined {
    if (revision < this.oldestResumable(current) || revision > current) return undefined;
    return this.changes.filter((change) => change.revision > revision);
  }

  record(change: ResourceChange): void {
    this.changes.push(change);
    if (this.changes.length > MAX_CHANGES) this.evictOldestRevision();
  }

  clear(): void {
    this.changes = [];
  }

  /** Evicts all changes of the oldest revision together, so that no revision is kept in part. */
  private evictOldestRevision(): void {
    const oldest = this.changes[0]?.revision;
    const kept = this.changes.findIndex((change) => change.revision !== oldest);
    if (kept > 0) this.changes.splice(0, kept);
  }
}
