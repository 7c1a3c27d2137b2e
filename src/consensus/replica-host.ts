/**
 * Manages the lifecycle of a replica: opens or creates the data folder, bootstraps or joins the replica set, runs the
 * {@link RaftNode}, and restarts it from disk after a failed write.
 */
import type { Clock } from '../common/clock.js';
import { StorageError } from '../common/errors.js';
import type { RandomSource } from '../common/random.js';
import { LogStorage } from '../storage/log-storage.js';
import type { StorageFiles } from '../storage/storage-files.js';
import type { ReadCallback } from './pending-reads.js';
import { RaftNode, type RaftParts } from './raft-node.js';
import type { ProposalCallback, RaftStatus } from './raft-options.js';
import type { RaftMessage, RaftTransport, StateMachine } from './raft-types.js';
import type { PersistedState, Replica, Snapshot } from '../storage/persisted-state.js';
import { AcceptorStore } from './acceptor-store.js';
import { DeferredMessages } from './deferred-messages.js';
import type { AcceptorRecord } from './formation.js';
import { type BootstrapDecision, ReplicaBootstrap } from './replica-bootstrap.js';
import { ReplicaFolder } from './replica-folder.js';

export interface ReplicaHostOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly files: StorageFiles;
  readonly transport: RaftTransport;
  readonly stateMachine: StateMachine;
  readonly name: string;
  readonly origin: string;
  readonly role: Replica['role'];
  /** Origins of the other configured replicas. */
  readonly contacts: readonly string[];
  /** Joins an existing replica set instead of forming one, to replace a lost replica or add a new one. */
  readonly join: boolean;
  /** Origins of the replicas a majority of which forms the set. Undefined: this replica and all contacts form it. */
  readonly seeds?: readonly string[] | undefined;
  readonly electionTimeoutMs: number;
  readonly snapshotInterval?: number | undefined;
  /** See `RaftOptions.maxVoters`. */
  readonly maxVoters?: number | undefined;
  /** See `RaftOptions.lossTolerance`. */
  readonly lossTolerance?: number | undefined;
  /** Generates the identity of a new data folder. Must never return the same value twice. */
  readonly generateIdentity: () => string;
  /** Called on every phase change. `problem` says why the replica is not running. */
  readonly onPhaseChange?: (phase: ReplicaPhase, problem: string | undefined) => void;
  /** Called from time to time while this replica is in no replica set. */
  readonly onFormationDelayed?: (problem: string) => void;
  /** Replaces classes of the {@link RaftNode}; for the simulator. */
  readonly parts?: RaftParts | undefined;
}

/** Lifecycle phase of a replica. */
export type ReplicaPhase =
  /** Writing a new data folder. */
  | 'creating'
  /** Waiting for the other replicas, to form a new replica set or join theirs. */
  | 'bootstrapping'
  | 'running'
  /** The data folder is corrupted. The replica neither votes nor stores entries. */
  | 'damaged'
  /** The data folder cannot be read or written. The replica neither votes nor stores entries until it can be again. */
  | 'failed'
  | 'stopped';

const NOT_ADDED = 'this replica has no record that lets it form a set, and none has added it';
/** Interval of the reports that no replica set has added this replica, in milliseconds. */
const JOIN_REPORT_MS = 5_000;
/** Delay before the data folder is reopened after a failed write. */
const REOPEN_DELAY_MS = 1_000;

export class ReplicaHost {
  private currentPhase: ReplicaPhase = 'creating';
  private currentProblem: string | undefined;
  private self: Replica | undefined;
  private storage: LogStorage | undefined;
  private node: RaftNode | undefined;
  private bootstrap: ReplicaBootstrap | undefined;
  /** Messages that arrive while a formed set is written to disk: the first election may have begun. */
  private readonly deferred = new DeferredMessages();
  /** Whether the folder is about to be opened again, after a failure. Further failures until then change nothing. */
  private isReopening = false;
  /** Snapshot of the state machine before any command, from which a log without a snapshot is replayed. */
  private emptyState: Uint8Array | undefined;

  private readonly folder: ReplicaFolder;
  private readonly acceptorStore: AcceptorStore;

  constructor(private readonly options: ReplicaHostOptions) {
    this.folder = new ReplicaFolder(options.files);
    this.acceptorStore = new AcceptorStore(this.folder, options);
  }

  get phase(): ReplicaPhase {
    return this.currentPhase;
  }

  /** Why the replica is not fully operational. */
  get problem(): string | undefined {
    return this.currentProblem;
  }

  /** Identity of the replica; undefined until the data folder is open. */
  get identity(): string | undefined {
    return this.self?.identity;
  }

  /** Status of the {@link RaftNode}; undefined until it is created. */
  get raftStatus(): RaftStatus | undefined {
    return this.node?.status();
  }

  start(): void {
    this.emptyState ??= this.options.stateMachine.takeSnapshot();
    this.tryStorage(() => {
      const found = this.folder.readIdentity();
      if (found.type === 'none') this.create();
      else if (found.type === 'damaged') this.setPhase('damaged', 'the identity file is damaged');
      else this.open(found.identity);
    });
  }

  stop(): void {
    if (this.currentPhase === 'stopped') return;
    this.bootstrap?.stop();
    this.node?.stop();
    this.storage?.close();
    this.setPhase('stopped', undefined);
  }

  /** Processes a message. `to` is the identity of its receiver; empty for any identity. */
  receive(to: string, message: RaftMessage): void {
    if (to !== '' && to !== this.identity) return;
    if (this.node !== undefined) this.node.receive(message);
    else if (!this.deferred.add(message)) this.bootstrap?.receive(message);
  }

  propose(data: Uint8Array, callback: ProposalCallback): void {
    if (this.node !== undefined) this.node.propose(data, callback);
    else callback({ type: 'not-leader', leader: undefined });
  }

  readBarrier(callback: ReadCallback): void {
    if (this.node !== undefined) this.node.readBarrier(callback);
    else callback(false);
  }

  /** Removes all replicas with the given name. @returns false if that is not possible now */
  removeReplica(name: string): boolean {
    return this.node?.removeReplica(name) ?? false;
  }

  private setPhase(phase: ReplicaPhase, problem: string | undefined): void {
    if (this.currentPhase === 'stopped') return;
    this.currentPhase = phase;
    this.currentProblem = problem;
    this.options.onPhaseChange?.(phase, problem);
  }

  /** Runs a step that reads or creates the data folder. If it fails, the step is tried again later, as after a failed write. */
  private tryStorage(step: () => void): void {
    try {
      step();
    } catch (error) {
      if (!(error instanceof StorageError)) throw error;
      this.isReopening = false;
      this.fail(error);
    }
  }

  private fail(error: Error): void {
    const cause = error.cause instanceof Error ? ` ${error.cause.message}` : '';
    this.setPhase('failed', `${error.message}${cause}`);
    if (this.isReopening) return;
    this.isReopening = true;
    this.options.clock.schedule(REOPEN_DELAY_MS, () => this.reopen());
  }

  /**
   * Restarts the replica from disk. Failed writes were never acknowledged, so they can be dropped. The stored log is
   * rewritten first, because after a failed sync the state of earlier writes is unknown.
   */
  private reopen(): void {
    if (this.currentPhase !== 'failed') return;
    this.closeAll();
    this.tryStorage(() => {
      if (!this.folder.isCreated) {
        this.isReopening = false;
        this.create();
        return;
      }
      LogStorage.rewrite(this.options.files, (error) => {
        this.isReopening = false;
        if (error !== undefined) this.fail(error);
        else this.start();
      });
    });
  }

  private closeAll(): void {
    this.bootstrap?.stop();
    this.bootstrap = undefined;
    this.deferred.take();
    this.node?.stop();
    this.node = undefined;
    this.storage?.close();
    this.storage = undefined;
  }

  private create(): void {
    this.setPhase('creating', undefined);
    const identity = this.options.generateIdentity();
    // A folder that vanished while the replica ran may have held promises.
    const record = this.self === undefined ? this.acceptorStore.initial() : undefined;
    this.folder.create(identity, record, (error) => {
      if (error === undefined) this.tryStorage(() => this.open(identity));
      else this.fail(error);
    });
  }

  private open(identity: string): void {
    if (this.currentPhase === 'stopped') return;
    const opened = LogStorage.open(this.options.files);
    if (opened.type === 'damaged') {
      this.setPhase('damaged', opened.reason);
      return;
    }
    const { name, origin, role } = this.options;
    this.self = { identity, name, origin, role };
    this.storage = opened.storage;
    this.bootstrapOrRun(this.self, opened.storage, opened.persisted);
  }

  private bootstrapOrRun(self: Replica, storage: LogStorage, persisted: PersistedState): void {
    const hasLog = persisted.snapshot !== undefined || persisted.entries.length > 0;
    const record = hasLog ? undefined : this.acceptorStore.read();
    if (record === 'damaged') {
      this.setPhase('damaged', "the acceptor's record is damaged");
      return;
    }
    if (record === undefined) {
      this.run(self, storage, persisted);
      return;
    }
    this.setPhase('bootstrapping', 'waiting for the other replicas');
    const { clock, random, transport, contacts, electionTimeoutMs, maxVoters } = this.options;
    this.bootstrap = new ReplicaBootstrap({
      clock,
      random,
      transport,
      self,
      contacts,
      electionTimeoutMs,
      maxVoters,
      record,
      saveRecord: (next, done) => this.saveAcceptor(next, done),
      onDecided: (decision) => this.onDecided(decision, self, storage, persisted),
      onDelayed: (problem) => this.options.onFormationDelayed?.(problem),
    });
    this.bootstrap.start();
  }

  private saveAcceptor(record: AcceptorRecord, done: () => void): void {
    this.acceptorStore.save(record, (error) => {
      if (error === undefined) done();
      else this.fail(error);
    });
  }

  private onDecided(
    decision: BootstrapDecision,
    self: Replica,
    storage: LogStorage,
    persisted: PersistedState,
  ): void {
    if (decision.type === 'join') {
      this.run(self, storage, persisted);
      return;
    }
    this.deferred.start();
    const { replicas, isProposer } = decision;
    const data = this.options.stateMachine.takeSnapshot();
    const snapshot: Snapshot = { index: 0, term: 0, replicas, data };
    storage.saveSnapshot(snapshot, (error) => {
      if (error === undefined) this.run(self, storage, { ...persisted, snapshot }, isProposer);
      else this.fail(error);
    });
  }

  private run(
    self: Replica,
    storage: LogStorage,
    persisted: PersistedState,
    startsElection = false,
  ): void {
    if (this.currentPhase === 'stopped') return;
    const { clock, random, transport, stateMachine, contacts, electionTimeoutMs } = this.options;
    if (persisted.snapshot === undefined) stateMachine.restoreSnapshot(this.emptyState!);
    this.node = new RaftNode(
      {
        clock,
        random,
        storage,
        transport,
        stateMachine,
        self,
        electionTimeoutMs,
        contacts,
        snapshotInterval: this.options.snapshotInterval,
        maxVoters: this.options.maxVoters,
        lossTolerance: this.options.lossTolerance,
        onStorageFailure: (error) => this.fail(error),
      },
      persisted,
      this.options.parts,
    );
    this.setPhase('running', undefined);
    this.node.start(startsElection);
    for (const message of this.deferred.take()) this.node.receive(message);
    if (persisted.snapshot === undefined) this.reportIfNotAdded(this.node);
  }

  /** Reports from time to time that no replica set has added this replica. */
  private reportIfNotAdded(node: RaftNode): void {
    this.options.clock.schedule(JOIN_REPORT_MS, () => {
      if (this.node !== node || node.status().replicas.voters.length > 0) return;
      this.options.onFormationDelayed?.(NOT_ADDED);
      this.reportIfNotAdded(node);
    });
  }
}
