/**
 * Reads and writes the identity and acceptor files of a replica's data folder. Each holds one checksummed record and is
 * replaced atomically.
 */
import { decodeMessage, encodeMessage } from '../common/message-codec.js';
import { LogStorage } from '../storage/log-storage.js';
import type { Replica } from '../storage/persisted-state.js';
import { encodeRecord, scanRecords } from '../storage/record-format.js';
import type { FileCallback, StorageFiles } from '../storage/storage-files.js';
import { type AcceptorRecord, type Quorum, recordOfPromise } from './formation.js';

const IDENTITY_FILE = 'identity';
const ACCEPTOR_FILE = 'acceptor';
/** Written by earlier versions: the set that the replica promised to form. */
const PROMISE_FILE = 'promise';

/** Content of the identity file. */
export type StoredIdentity =
  | { readonly type: 'none' }
  | { readonly type: 'damaged' }
  | { readonly type: 'found'; readonly identity: string };

export class ReplicaFolder {
  constructor(private readonly files: StorageFiles) {}

  /** Whether the folder has been created: the identity file is written last. */
  get isCreated(): boolean {
    return this.files.read(IDENTITY_FILE) !== undefined;
  }

  private get hasAcceptor(): boolean {
    return this.files.read(ACCEPTOR_FILE) !== undefined;
  }

  readIdentity(): StoredIdentity {
    const bytes = this.files.read(IDENTITY_FILE);
    if (bytes === undefined) return { type: 'none' };
    const [payload] = scanRecords(bytes).payloads;
    if (payload === undefined) return { type: 'damaged' };
    return { type: 'found', identity: decodeMessage<string>(payload) };
  }

  /**
   * Writes an empty log, then the acceptor's record, if there is one, then the identity file: an identity without a log
   * shows that the log was lost, and an acceptor has its record before anybody hears of its identity.
   * @throws StorageError if there is no folder and it cannot be created
   */
  create(identity: string, acceptor: AcceptorRecord | undefined, done: FileCallback): void {
    this.files.createFolder();
    const writeIdentity = (): void => this.replace(IDENTITY_FILE, identity, done);
    LogStorage.create(this.files, (error) => {
      if (error !== undefined) done(error);
      else if (acceptor === undefined || this.hasAcceptor) writeIdentity();
      else this.saveAcceptor(acceptor, (failure) => (failure ? done(failure) : writeIdentity()));
    });
  }

  /**
   * Returns the record of an acceptor of the initial replica set; undefined if this replica is none.
   * @param quorum the quorum of a replica set that an earlier version has promised to form
   */
  readAcceptor(quorum: Quorum): AcceptorRecord | 'damaged' | undefined {
    const record = this.readRecord<AcceptorRecord>(ACCEPTOR_FILE);
    if (record !== undefined) return record;
    const promised = this.readRecord<readonly Replica[]>(PROMISE_FILE);
    if (promised === undefined || promised === 'damaged') return promised;
    return recordOfPromise(promised, quorum);
  }

  saveAcceptor(record: AcceptorRecord, done: FileCallback): void {
    this.replace(ACCEPTOR_FILE, record, done);
  }

  private readRecord<T>(name: string): T | 'damaged' | undefined {
    const bytes = this.files.read(name);
    if (bytes === undefined) return undefined;
    const [payload] = scanRecords(bytes).payloads;
    return payload === undefined ? 'damaged' : decodeMessage<T>(payload);
  }

  private replace(name: string, content: unknown, done: FileCallback): void {
    this.files.replace(name, encodeRecord(encodeMessage(content)), done);
  }
}
