/**
 * Checks a replicated store for linearizability. Revisions give the total order of changes: every answer must
 * be consistent with it in real time, and all replicas must have the same contents at the same revision.
 */
import type { RaftMessage } from '../../../src/consensus/raft-types.js';
import type { ResourceCommand, ResourceResult } from '../../../src/control/commands.js';
import type { ResourceStore } from '../../../src/control/resource-store.js';
import { resourceIdOf, resourceKey } from '../../../src/policy/stored-resource.js';

/** A change acknowledged to a client as accepted. */
interface AcceptedChange {
  readonly changeId: string;
  readonly revision: number;
}

/** What has been acknowledged to clients so far, and so must be visible to later operations. */
export interface AcknowledgedState {
  /** Highest revision acknowledged to any client. */
  readonly revision: number;
  /** Highest acknowledged revision by resource key. */
  readonly versions: ReadonlyMap<string, number>;
}

/** The acknowledgement of a revision to a client. */
interface Acknowledgement {
  readonly revision: number;
  readonly at: number;
}

export class ReplicationChecker {
  readonly violations: string[] = [];
  private readonly leadersByTerm = new Map<number, string>();
  /** The change id that produced each revision. */
  private readonly changeIdsByRevision = new Map<number, string>();
  private readonly contentsByRevision = new Map<number, string>();
  private readonly acknowledgedVersions = new Map<string, number>();
  private readonly accepted: AcceptedChange[] = [];
  private acknowledgedRevision = 0;
  /** The first acknowledgement of each new highest revision. */
  private readonly acknowledgements: Acknowledgement[] = [];
  private inForce = 0;

  /** @param now returns the time since the start of the run, in milliseconds */
  constructor(private readonly now: () => number) {}

  /** Number of changes acknowledged as accepted. */
  get acceptedCount(): number {
    return this.accepted.length;
  }

  /** Highest revision that every follower has applied. */
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
        `${replica} produced revision ${result.revision} from ${command.changeId}, not from ${known}`,
      );
    }
  }

  /** Checks that every replica has the same contents at the same revision. */
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

  /** A copy of the state that an operation starting now must see. */
  acknowledgedState(): AcknowledgedState {
    return { revision: this.acknowledgedRevision, versions: new Map(this.acknowledgedVersions) };
  }

  /** Checks the result of a change against the state when it was sent. */
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
        this.addViolation(
          `${command.changeId} conflicted with version ${version} of ${key} after ${expected} was acknowledged`,
        );
      }
    }
  }

  /** Checks the revision of a read against the state when it was sent. */
  onRead(revision: number, stateAtStart: AcknowledgedState): void {
    if (revision < stateAtStart.revision) {
      this.addViolation(
        `a read returned revision ${revision} after ${stateAtStart.revision} was acknowledged`,
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

  /** Checks a follower's claim that it has every change acknowledged before `provenAt`. */
  onFollowerProof(follower: string, applied: number, provenAt: number): void {
    const missed = this.acknowledgements.find(
      ({ revision, at }) => at < provenAt && revision > applied,
    );
    if (missed === undefined) return;
    const { revision, at } = missed;
    this.addViolation(
      `${follower} has applied ${applied}, proven for ${provenAt} ms; ${revision} was acknowledged at ${at} ms`,
    );
  }

  onInForce(revision: number): void {
    this.inForce = Math.max(this.inForce, revision);
  }

  /** Checks that every accepted change is part of the final state. */
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
        `${changeId} became revision ${revision} after ${stateAtStart.revision} was acknowledged`,
      );
    }
    if (!isRepeat) this.accepted.push({ changeId, revision });
    this.recordAcknowledged(revision);
    this.acknowledgedVersions.set(key, Math.max(this.acknowledgedVersions.get(key) ?? 0, revision));
  }
}
