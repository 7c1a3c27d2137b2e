/** The record of a replica as an acceptor of the initial replica set: who has one, and where it is kept. */
import { type AcceptorRecord, newAcceptorRecord, type Quorum } from './formation.js';
import type { ReplicaFolder } from './replica-folder.js';
import type { FileCallback } from '../storage/storage-files.js';

export interface AcceptorStoreOptions {
  readonly origin: string;
  /** Origins of the other configured replicas. */
  readonly contacts: readonly string[];
  /** Whether this replica joins an existing set. */
  readonly join: boolean;
  /** Origins of the replicas a majority of which forms the set; undefined if all configured replicas have to agree. */
  readonly seeds?: readonly string[] | undefined;
}

export class AcceptorStore {
  private readonly quorum: Quorum;

  constructor(
    private readonly folder: ReplicaFolder,
    private readonly options: AcceptorStoreOptions,
  ) {
    this.quorum = options.seeds === undefined ? 'all' : 'majority';
  }

  /** Returns the record of a folder that is being created; undefined if this replica joins an existing set. */
  initial(): AcceptorRecord | undefined {
    const { join, seeds, origin, contacts } = this.options;
    return join ? undefined : newAcceptorRecord(seeds ?? [origin, ...contacts], this.quorum);
  }

  /**
   * Returns the record on disk; undefined if this replica is no acceptor. Whoever has a record remains an acceptor, even
   * if `join` has been set since. A seed without one may have lost it with its disk, and what it has promised. Where all
   * acceptors have to agree, the others remember.
   */
  read(): AcceptorRecord | 'damaged' | undefined {
    const record = this.folder.readAcceptor(this.quorum);
    if (record === 'damaged') return record;
    if (record === undefined) return this.quorum === 'all' ? this.initial() : undefined;
    return record.acceptors.includes(this.options.origin) ? record : undefined;
  }

  save(record: AcceptorRecord, done: FileCallback): void {
    this.folder.saveAcceptor(record, done);
  }
}
