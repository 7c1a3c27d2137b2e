/**
 * The latest accepted changes at one replica, for followers and watchers that resume from a revision. In memory alone: after
 * a start or a snapshot from the leader it is empty, and whoever is behind gets every resource instead.
 */
import type { ResourceChange } from '../policy/stored-resource.js';

/** Changes kept. At 1,800 changes a day, about a day's worth. */
const MAX_CHANGES = 2_000;

export class ChangeHistory {
  private changes: ResourceChange[] = [];

  /** Oldest revision from which {@link since} can resume, where the store stands at `current`. */
  oldestResumable(current: number): number {
    const first = this.changes[0];
    return first === undefined ? current : first.revision - 1;
  }

  /** The changes after `revision` in order; undefined when they are no longer all kept. */
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

  /** A revision may have many changes: either all of them are kept, or none. */
  private evictOldestRevision(): void {
    const oldest = this.changes[0]?.revision;
    const kept = this.changes.findIndex((change) => change.revision !== oldest);
    if (kept > 0) this.changes.splice(0, kept);
  }
}
