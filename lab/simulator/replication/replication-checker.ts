/**
 * Watches a replicated store from outside. The order of revisions is the witness of linearizability:
 * every answer must fit it, in real time, and no replica may ever differ from it.
 */
import type { RaftMessage } from '../../../src/consensus/raft-types.js';
import type { ResourceCommand, ResourceResult } from '../../../src/control/commands.js';
import type { ResourceStore } from '../../../src/control/resource-store.js';
import { resourceIdOf, resourceKey } from '../../../src/policy/stored-resource.js';

/** What a client saw of one accepted change. */
interface AcceptedChange {
  readonly changeId: string;
  readonly revision: number;
}

/** What must be visible to whatever begins now. */
export interface AcknowledgedState {
  /** Highest revision that anyone was told of. */
  readonly revision: number;
  /** Highest revision told per resource key. */
  readonly versions: ReadonlyMap<string, number>;
}

/** A client was told of a revision. */
interface Acknowledgement {
  readonly revision: number;
  readonly at: number;
}

export class ReplicationChecker {
  readonly violations: string[] = [];
  private readonly leadersByTerm = new Map<number, string>();
  /** Which change made each revision. */
  private readonly changeIdsByRevision = new Map<number, string>();
  private readonly contentsByRevision = new Map<number, string>();
  private readonly acknowledgedVersions = new Map<string, number>();
  private readonly accepted: AcceptedChange[] = [];
  private acknowledgedRevision = 0;
  /** When clients were told of each revision that was higher than all before. */
  private readonly acknowledgements: Acknowledgement[] = [];
  private inForce = 0;

  /** @param now milliseconds of the run */
  constructor(private readonly now: () => number) {}

  /** Number of changes that clients were told are accepted. */
  get acceptedCount(): number {
    return this.accepted.length;
  }

  /** Highest revision that every follower was seen to apply. */
  get inForceRevision(): number {
    return this.inForce;
  }

  onRaftMessage(message: RaftMessage): void {
    if (message.type !== 'append-request') return;
    const { term, from } = message;
    const known = this.leadersByTerm.get(term);
    if (known === undefined) this.leadersByTerm.set(term, from.identity);
    else if (known !== from.identity) {
      this.addViolation(`term ${term} has two leaders, ${known} and ${from.identity}`);
    }
  }

  onApplied(replica: string, command: ResourceCommand, result: ResourceResult): void {
    if (result.type !== 'accepted') return;
    const known = this.changeIdsByRevision.get(result.revision);
    if (known === undefined) this.changeIdsByRevision.set(result.revision, command.changeId);
    else if (known !== command.changeId) {
      this.addViolation(
        `${replica} made revision ${result.revision} of ${command.changeId}, not ${known}`,
      );
    }
  }

  /** A replica's store changed: the same revision must mean the same contents everywhere. */
  onStoreChanged(replica: string, store: ResourceStore): void {
    this.compareContents(replica, store.revision, JSON.stringify(store.list()));
  }

  compareContents(holder: string, revision: number, contents: string): void {
    const known = this.contentsByRevision.get(revision);
    if (known === undefined) this.contentsByRevision.set(revision, contents);
    else if (known !== contents) {
      this.addViolation(`${holder} differs from the others at revision ${revision}`);
    }
  }

  /** What an operation that begins now must see. */
  acknowledgedState(): AcknowledgedState {
    return { revision: this.acknowledgedRevision, versions: new Map(this.acknowledgedVersions) };
  }

  /** A client was told how its change ended. */
  onChangeAnswered(
    command: ResourceCommand,
    result: ResourceResult,
    stateAtStart: AcknowledgedState,
  ): void {
    const id = command.type === 'put' ? resourceIdOf(command.resource) : command.target;
    const key = resourceKey(id);
    if (result.type === 'accepted') this.onAccepted(command, result.revision, key, stateAtStart);
    if (result.type === 'conflict') {
      const version = result.current?.version ?? 0;
      const expected = stateAtStart.versions.get(key) ?? 0;
      if (result.current !== undefined && version < expected) {
        this.addViolation(`${command.changeId} met version ${version} of ${key} after ${expected}`);
      }
    }
  }

  /** A client was told a revision. */
  onRead(revision: number, stateAtStart: AcknowledgedState): void {
    if (revision < stateAtStart.revision) {
      this.addViolation(
        `a read gave revision ${revision} after ${stateAtStart.revision} had been told`,
      );
    }
    this.recordAcknowledged(revision);
  }

  onFollowerApplied(
    follower: string,
    revision: number,
    previous: number | undefined,
    inForceAtStart: number,
  ): void {
    if (previous !== undefined && revision < previous) {
      this.addViolation(`${follower} went back from revision ${previous} to ${revision}`);
    }
    if (previous === undefined && revision < inForceAtStart) {
      this.addViolation(
        `${follower} started with ${revision} while ${inForceAtStart} was in force`,
      );
    }
  }

  /** A follower believes that it lacks nothing which was told before `provenAt`. */
  onFollowerProof(follower: string, applied: number, provenAt: number): void {
    const missed = this.acknowledgements.find(
      ({ revision, at }) => at < provenAt && revision > applied,
    );
    if (missed === undefined) return;
    const { revision, at } = missed;
    this.addViolation(
      `${follower} stands at ${applied}, proven for ${provenAt} ms; ${revision} was told at ${at} ms`,
    );
  }

  onInForce(revision: number): void {
    this.inForce = Math.max(this.inForce, revision);
  }

  /** At the end: everything that was accepted stands in the final order. */
  checkFinalState(finalRevision: number): void {
    for (const { changeId, revision } of this.accepted) {
      if (this.changeIdsByRevision.get(revision) !== changeId) {
        this.addViolation(`${changeId} was accepted as revision ${revision} and is lost`);
      }
      if (revision > finalRevision) {
        this.addViolation(`revision ${revision} was accepted; the store ended at ${finalRevision}`);
      }
    }
  }

  addViolation(text: string): void {
    this.violations.push(text);
  }

  private recordAcknowledged(revision: number): void {
    if (revision > this.acknowledgedRevision)
      this.acknowledgements.push({ revision, at: this.now() });
    this.acknowledgedRevision = Math.max(this.acknowledgedRevision, revision);
  }

  private onAccepted(
    command: ResourceCommand,
    revision: number,
    key: string,
    stateAtStart: AcknowledgedState,
  ): void {
    const { changeId } = command;
    const isRepeat = this.accepted.some((other) => other.changeId === changeId);
    if (
      this.accepted.some((other) => (other.changeId === changeId) !== (other.revision === revision))
    ) {
      this.addViolation(
        `${changeId} and another change were answered inconsistently at ${revision}`,
      );
    }
    if (revision <= stateAtStart.revision) {
      this.addViolation(
        `${changeId} became revision ${revision} after ${stateAtStart.revision} was told`,
      );
    }
    if (!isRepeat) this.accepted.push({ changeId, revision });
    this.recordAcknowledged(revision);
    this.acknowledgedVersions.set(key, Math.max(this.acknowledgedVersions.get(key) ?? 0, revision));
  }
}
