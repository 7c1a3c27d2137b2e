/**
 * Reads and writes the identity and promise files of a replica's data folder. Each holds one checksummed record and is
 * replaced atomically.
 */
import { decodeMessage, encodeMessage } from '../common/message-codec.js';
import { LogStorage } from '../storage/log-storage.js';
import type { Replica } from '../storage/persisted-state.js';
import { encodeRecord, scanRecords } from '../storage/record-format.js';
import type { FileCallback, StorageFiles } from '../storage/storage-files.js';

const IDENTITY_FILE = 'identity';
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

  readIdentity(): StoredIdentity {
    const bytes = this.files.read(IDENTITY_FILE);
    if (bytes === undefined) return { type: 'none' };
    const [payload] = scanRecords(bytes).payloads;
    if (payload === undefined) return { type: 'damaged' };
    return { type: 'found', identity: decodeMessage<string>(payload) };
  }

  /**
   * Writes an empty log, then the identity file, so that an identity without a log shows that the log was lost.
   * @throws StorageError if there is no folder and it cannot be created
   */
  create(identity: string, done: FileCallback): void {
    this.files.createFolder();
    LogStorage.create(this.files, (error) => {
      if (error === undefined) this.replace(IDENTITY_FILE, identity, done);
      else done(error);
    });
  }

  /** Returns the replica set that this replica has promised to form; undefined if there is no promise. */
  readPromise(): readonly Replica[] | 'damaged' | undefined {
    const bytes = this.files.read(PROMISE_FILE);
    if (bytes === undefined) return undefined;
    const [payload] = scanRecords(bytes).payloads;
    return payload === undefined ? 'damaged' : decodeMessage<readonly Replica[]>(payload);
  }

  savePromise(replicas: readonly Replica[], done: FileCallback): void {
    this.replace(PROMISE_FILE, replicas, done);
  }

  private replace(name: string, content: unknown, done: FileCallback): void {
    this.files.replace(name, encodeRecord(encodeMessage(content)), done);
  }
}
