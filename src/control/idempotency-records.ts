/**
 * Results of recent changes by change id, part of the replicated state. A change that is retried with the same id gets the
 * original result and is not applied twice. Records are evicted in the same order on every replica.
 */
import { rendezvousScore } from '../common/rendezvous-hash.js';
import type { ResourceCommand, ResourceResult } from './commands.js';

/** Record of a change and its result, as stored in snapshots. */
export interface IdempotencyRecord {
  readonly changeId: string;
  /** Hash of the change; distinguishes a retry from a different change with the same id. */
  readonly fingerprint: number;
  readonly result: ResourceResult;
}

/** Maximum number of records kept; older changes are no longer recognized as retries. */
const MAX_RECORDS = 10_000;

export class IdempotencyRecords {
  private byChangeId = new Map<string, IdempotencyRecord>();

  /** Returns the original result of a retried change; undefined when the change id is new. */
  resultFor(command: ResourceCommand): ResourceResult | undefined {
    const earlier = this.byChangeId.get(command.changeId);
    if (earlier === undefined) return undefined;
    if (earlier.fingerprint === fingerprintOf(command)) return earlier.result;
    return { type: 'change-id-reused' };
  }

  /** Records the result of a command and evicts the oldest record when there are too many. */
  record(command: ResourceCommand, result: ResourceResult): void {
    const { changeId } = command;
    this.byChangeId.set(changeId, { changeId, fingerprint: fingerprintOf(command), result });
    if (this.byChangeId.size <= MAX_RECORDS) return;
    const [oldest] = this.byChangeId.keys();
    if (oldest !== undefined) this.byChangeId.delete(oldest);
  }

  /** All records, oldest first. */
  list(): IdempotencyRecord[] {
    return [...this.byChangeId.values()];
  }

  /** Replaces the records with those of a snapshot. */
  restore(results: readonly IdempotencyRecord[]): void {
    this.byChangeId = new Map(results.map((entry) => [entry.changeId, entry]));
  }
}

function fingerprintOf(command: ResourceCommand): number {
  const subject = command.type === 'put' ? command.resource : command.target;
  return rendezvousScore(command.type, JSON.stringify([subject, command.precondition]));
}
