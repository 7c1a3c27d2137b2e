/**
 * An acceptor of the initial replica set: holds the record of its promises and writes it to disk before it answers. The
 * rules are in `formation.ts`.
 */
import {
  accept,
  prepare,
  type AcceptedSet,
  type AcceptorRecord,
  type Ballot,
} from './formation.js';

/** Writes a record to disk. Calls `done` once it is synced, and never if the write fails. */
export type SaveRecord = (record: AcceptorRecord, done: () => void) => void;

export class FormationAcceptor {
  private isSaving = false;
  /** The newest record that is on disk. */
  private synced: AcceptorRecord;
  /** Called once the current record is synced. */
  private waiting: (() => void)[] = [];

  constructor(
    private current: AcceptorRecord,
    private readonly save: SaveRecord,
  ) {
    this.synced = current;
  }

  /** The newest record, which may not be synced yet. */
  get record(): AcceptorRecord {
    return this.current;
  }

  /**
   * Promises a ballot.
   * @param done called with the set accepted before, once the promise is synced
   * @returns false if a higher ballot was promised
   */
  prepare(ballot: Ballot, done: (accepted: AcceptedSet | undefined) => void): boolean {
    const { accepted } = this.current;
    return this.update(prepare(this.current, ballot), () => done(accepted));
  }

  /**
   * Accepts a set.
   * @param done called once the acceptance is synced
   * @returns false if a higher ballot was promised
   */
  accept(accepted: AcceptedSet, done: () => void): boolean {
    return this.update(accept(this.current, accepted), done);
  }

  private update(record: AcceptorRecord | undefined, done: () => void): boolean {
    if (record === undefined) return false;
    this.current = record;
    this.waiting.push(done);
    if (!this.isSaving) this.saveCurrent();
    return true;
  }

  /**
   * Writes one record at a time: those that are replaced meanwhile are written as one, and a repeated request, which
   * changes nothing, causes no write.
   */
  private saveCurrent(): void {
    if (this.current === this.synced) {
      this.callWaiting();
      return;
    }
    this.isSaving = true;
    const { current, waiting } = this;
    this.waiting = [];
    this.save(current, () => {
      this.isSaving = false;
      this.synced = current;
      for (const done of waiting) done();
      if (this.waiting.length > 0 && !this.isSaving) this.saveCurrent();
    });
  }

  private callWaiting(): void {
    const { waiting } = this;
    this.waiting = [];
    for (const done of waiting) done();
  }
}
