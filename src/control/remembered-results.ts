/**
 * Answers to recent changes of single resources, so that a change that is sent again with the same id gets the first
 * answer and is not made twice. Owns the list that is part of the replicated state; every replica forgets in the same order.
 */
import { rendezvousScore } from '../common/rendezvous-hash.js';
import type { ResourceCommand, ResourceResult } from './commands.js';

/** An answer as a snapshot holds it. */
export interface IdempotencyRecord {
  readonly changeId: string;
  /** Tells a resend from another change that uses the same id. */
  readonly fingerprint: number;
  readonly result: ResourceResult;
}

/** Answers that are remembered. At 1,800 changes a day, more than five days' worth. */
const MAX_RECORDS = 10_000;

export class IdempotencyRecords {
  private byChangeId = new Map<string, IdempotencyRecord>();

  /** The first answer to a change that is sent again; undefined for a change id that is new. */
  resultFor(command: ResourceCommand): ResourceResult | undefined {
    const earlier = this.byChangeId.get(command.changeId);
    if (earlier === undefined) return undefined;
    if (earlier.fingerprint === fingerprintOf(command)) return earlier.result;
    return { type: 'change-id-reused' };
  }

  /** Keeps the answer to a command, and forgets the oldest one beyond the most that are kept. */
  record(command: ResourceCommand, result: ResourceResult): void {
    const { changeId } = command;
    this.byChangeId.set(changeId, { changeId, fingerprint: fingerprintOf(command), result });
    if (this.byChangeId.size <= MAX_RECORDS) return;
    const [oldest] = this.byChangeId.keys();
    if (oldest !== undefined) this.byChangeId.delete(oldest);
  }

  /** Every answer, oldest first. */
  list(): IdempotencyRecord[] {
    return [...this.byChangeId.values()];
  }

  /** Replaces the answers by those of a snapshot. */
  restore(results: readonly IdempotencyRecord[]): void {
    this.byChangeId = new Map(results.map((entry) => [entry.changeId, entry]));
  }
}

function fingerprintOf(command: ResourceCommand): number {
  const subject = command.type === 'put' ? command.resource : command.target;
  return rendezvousScore(command.type, JSON.stringify([subject, command.precondition]));
}
