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
export interface Horizon {
  /** Highest revision that anyone was told of. */
  readonly revision: number;
  /** Highest revision told per resource key. */
  readonly versions: ReadonlyMap<string, number>;
}

/** A client was told of a revision. */
interface Telling {
  readonly revision: number;
  readonly at: number;
}

export class ReplicationChecker {
  readonly violations: string[] = [];
  private readonly leaders = new Map<number, string>();
  /** Which change made each revision. */
  private readonly witness = new Map<number, string>();
  private readonly contents = new Map<number, string>();
  private readonly told = new Map<string, number>();
  private readonly accepted: AcceptedChange[] = [];
  private toldRevision = 0;
  /** When clients were told of each revision that was higher than all before. */
  private readonly tellings: Telling[] = [];
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
    const known = this.leaders.get(term);
    if (known === undefined) this.leaders.set(term, from.identity);
    else if (known !== from.identity) {
      this.violate(`term ${term} has two leaders, ${known} and ${from.identity}`);
    }
  }

  onApplied(replica: string, command: ResourceCommand, result: ResourceResult): void {
    if (result.type !== 'accepted') return;
    const known = this.witness.get(result.revision);
    if (known === undefined) this.witness.set(result.revision, command.changeId);
    else if (known !== command.changeId) {
      this.violate(
        `${replica} made revision ${result.revision} of ${command.changeId}, not ${known}`,
      );
    }
  }

  /** A replica's store changed: the same revision must mean the same contents everywhere. */
  onStoreChanged(replica: string, store: ResourceStore): void {
    this.compareContents(replica, store.revision, JSON.stringify(store.list()));
  }

  compareContents(holder: string, revision: number, contents: string): void {
    const known = this.contents.get(revision);
    if (known === undefined) this.contents.set(revision, contents);
    else if (known !== contents) {
      this.violate(`${holder} differs from the others at revision ${revision}`);
    }
  }

  /** What an operation that begins now must see. */
  horizon(): Horizon {
    return { revision: this.toldRevision, versions: new Map(this.told) };
  }

  /** A client was told how its change ended. */
  onChangeAnswered(command: ResourceCommand, result: ResourceResult, begun: Horizon): void {
    const id = command.type === 'put' ? resourceIdOf(command.resource) : command.target;
    const key = resourceKey(id);
    if (result.type === 'accepted') this.onAccepted(command, result.revision, key, begun);
    if (result.type === 'conflict') {
      const version = result.current?.version ?? 0;
      const expected = begun.versions.get(key) ?? 0;
      if (result.current !== undefined && version < expected) {
        this.violate(`${command.changeId} met version ${version} of ${key} after ${expected}`);
      }
    }
  }

  /** A client was told a revision. */
  onRead(revision: number, begun: Horizon): void {
    if (revision < begun.revision) {
      this.violate(`a read gave revision ${revision} after ${begun.revision} had been told`);
    }
    this.tell(revision);
  }

  onFollowerApplied(
    follower: string,
    revision: number,
    previous: number | undefined,
    inForceAtStart: number,
  ): void {
    if (previous !== undefined && revision < previous) {
      this.violate(`${follower} went back from revision ${previous} to ${revision}`);
    }
    if (previous === undefined && revision < inForceAtStart) {
      this.violate(`${follower} started with ${revision} while ${inForceAtStart} was in force`);
    }
  }

  /** A follower believes that it lacks nothing which was told before `provenAt`. */
  onProven(follower: string, applied: number, provenAt: number): void {
    const missed = this.tellings.find(({ revision, at }) => at < provenAt && revision > applied);
    if (missed === undefined) return;
    const { revision, at } = missed;
    this.violate(
      `${follower} stands at ${applied}, proven for ${provenAt} ms; ${revision} was told at ${at} ms`,
    );
  }

  onInForce(revision: number): void {
    this.inForce = Math.max(this.inForce, revision);
  }

  /** At the end: everything that was accepted stands in the final order. */
  checkEnd(finalRevision: number): void {
    for (const { changeId, revision } of this.accepted) {
      if (this.witness.get(revision) !== changeId) {
        this.violate(`${changeId} was accepted as revision ${revision} and is lost`);
      }
      if (revision > finalRevision) {
        this.violate(`revision ${revision} was accepted; the store ended at ${finalRevision}`);
      }
    }
  }

  violate(text: string): void {
    this.violations.push(text);
  }

  private tell(revision: number): void {
    if (revision > this.toldRevision) this.tellings.push({ revision, at: this.now() });
    this.toldRevision = Math.max(this.toldRevision, revision);
  }

  private onAccepted(
    command: ResourceCommand,
    revision: number,
    key: string,
    begun: Horizon,
  ): void {
    const { changeId } = command;
    const isRepeat = this.accepted.some((other) => other.changeId === changeId);
    if (
      this.accepted.some((other) => (other.changeId === changeId) !== (other.revision === revision))
    ) {
      this.violate(`${changeId} and another change were answered inconsistently at ${revision}`);
    }
    if (revision <= begun.revision) {
      this.violate(`${changeId} became revision ${revision} after ${begun.revision} was told`);
    }
    if (!isRepeat) this.accepted.push({ changeId, revision });
    this.tell(revision);
    this.told.set(key, Math.max(this.told.get(key) ?? 0, revision));
  }
}
