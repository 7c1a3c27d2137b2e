/**
 * Replica of the claims of a service, one per node. Grants claims of keys, and replies `unavailable` where it may lack
 * earlier claims. Transfers claims between replicas when the view changes, a replica restarts or a node stops. Pure.
 */
import type { Clock, Timer } from '../common/clock.js';
import { ClaimKnowledge } from './claim-knowledge.js';
import type {
  ClaimMessage,
  ClaimRecord,
  ClaimReply,
  ClaimRequest,
  ClaimTransport,
  HandoverRequest,
  KnownIncarnation,
  PullRequest,
  RecordsReply,
} from './claim-messages.js';
import { ClaimRecords } from './claim-records.js';
import { replicasOf, type ClaimMember, type ClaimView } from './claim-view.js';

export interface ClaimReplicaOptions {
  readonly clock: Clock;
  readonly selfId: string;
  readonly incarnation: number;
  readonly transport: ClaimTransport;
  /** Milliseconds since this process last had a reply from a control replica that has a leader. */
  readonly silentForMs: () => number;
  /** Lab only: treats the replica as complete even after a restart, to show that the tests detect lost claims. */
  readonly assumeComplete?: boolean;
}

/** Lifetime of a claim, in milliseconds. A repeat that arrives later runs again. */
export const CLAIM_LIFETIME_MS = 10 * 60_000;
/**
 * Time without a reply from control, in milliseconds, after which a process grants no keys: its view may be outdated.
 * Other replicas include this time when they wait for claims of earlier views to expire.
 */
export const CLAIM_FENCE_MS = 5 * 60_000;

/** Initial interval between pulls of records, in milliseconds. */
const FIRST_PULL_INTERVAL_MS = 300;
/** Maximum interval between pulls, in milliseconds. The interval doubles, since each pull transfers all claims. */
const MAX_PULL_INTERVAL_MS = 10_000;
const UNAVAILABLE: ClaimReply = { type: 'unavailable' };
const DONE: ClaimReply = { type: 'done' };

export class ClaimReplica {
  readonly records: ClaimRecords;
  private view: ClaimView | undefined;
  private knowledge: ClaimKnowledge | undefined;
  /** Knowledge of the previous epoch, for replicas that take over from it. */
  private previous: ClaimKnowledge | undefined;
  private readonly incarnations = new Map<string, number>();
  private handingOver = false;
  private pullTimer: Timer | undefined;
  private completionTimer: Timer | undefined;

  constructor(private readonly options: ClaimReplicaOptions) {
    this.records = new ClaimRecords(options.clock, CLAIM_LIFETIME_MS);
  }

  get currentView(): ClaimView | undefined {
    return this.view;
  }

  /** Latest epoch whose claims this replica has taken over completely; 0 if there is none. */
  get settledEpoch(): number {
    const epoch = this.view?.spec.epoch ?? 0;
    return this.knowledge?.isSettled === false ? epoch - 1 : epoch;
  }

  /** Switches to a view with a newer epoch; ignores any other. */
  setView(view: ClaimView): void {
    const before = this.view;
    const { epoch } = view.spec;
    if (before !== undefined && epoch <= before.spec.epoch) return;
    const isNext = before?.spec.epoch === epoch - 1;
    this.previous = isNext ? this.knowledge : undefined;
    this.view = view;
    this.knowledge = this.beginEpoch(view, before !== undefined);
    this.scheduleCompletion();
    this.pull(FIRST_PULL_INTERVAL_MS);
  }

  /** Handles a message from any node, including this one. */
  handle(message: ClaimMessage): ClaimReply {
    switch (message.type) {
      case 'claim':
        return this.onClaim(message);
      case 'release':
        this.records.release(message.key, message.callId);
        return DONE;
      case 'answered':
        this.records.onAnswered(message.key, message.callId);
        return DONE;
      case 'pull':
        return this.onPull(message);
      case 'handover':
        return this.onHandover(message);
    }
  }

  /**
   * Stops granting keys and sends the claims to the other members. Called before a planned stop, so that no claims are lost
   * if two nodes of a service restart at the same time.
   * @param done called when every request has been replied to or has failed
   */
  handOver(done: () => void): void {
    this.handingOver = true;
    const { view, knowledge } = this;
    const others = this.otherMembers();
    if (view === undefined || knowledge?.isComplete !== true || others.length === 0) {
      done();
      return;
    }
    let waiting = others.length;
    for (const { id } of others) {
      const message: HandoverRequest = {
        type: 'handover',
        epoch: view.spec.epoch,
        memberId: this.options.selfId,
        records: this.recordsFor(id, view.spec.members),
      };
      this.options.transport.request(id, message, () => {
        waiting -= 1;
        if (waiting === 0) done();
      });
    }
  }

  stop(): void {
    this.pullTimer?.cancel();
    this.completionTimer?.cancel();
  }

  private beginEpoch(view: ClaimView, isKnownProcess: boolean): ClaimKnowledge | undefined {
    const { selfId, incarnation } = this.options;
    const { epoch, members, previousMembers } = view.spec;
    const self = members.find((member) => member.id === selfId);
    if (self === undefined) return undefined;
    const wasThere = isKnownProcess || self.incarnation === incarnation;
    const before = this.previous;
    const knowsAsPredecessor = (key: string): boolean => before?.knows(key) === true;
    const create = (mode: 'complete' | 'restart' | 'transition'): ClaimKnowledge => {
      const asked = mode === 'transition' ? previousMembers : members;
      return new ClaimKnowledge(
        mode,
        selfId,
        asked,
        knowsAsPredecessor,
        before?.isComplete === true,
      );
    };
    if (this.options.assumeComplete === true) return create('complete');
    if (!wasThere) return create('restart');
    return create(epoch === 1 ? 'complete' : 'transition');
  }

  /** Marks the replica as complete once every claim that it could lack must have expired. */
  private scheduleCompletion(): void {
    this.completionTimer?.cancel();
    const { knowledge } = this;
    if (knowledge === undefined || knowledge.isComplete) return;
    const waitMs = CLAIM_LIFETIME_MS + CLAIM_FENCE_MS;
    this.completionTimer = this.options.clock.schedule(waitMs, () => knowledge.markComplete());
  }

  private pull(intervalMs: number): void {
    this.pullTimer?.cancel();
    const { knowledge, view } = this;
    const mode = knowledge?.pullMode;
    if (mode === undefined || knowledge === undefined || view === undefined) return;
    const { selfId: memberId, incarnation, transport, clock } = this.options;
    const message: PullRequest = {
      type: 'pull',
      mode,
      epoch: view.spec.epoch,
      memberId,
      incarnation,
    };
    for (const id of knowledge.pendingMemberIds) {
      transport.request(id, message, (reply) => {
        if (reply?.type === 'records' && this.knowledge === knowledge) this.adopt(id, reply);
      });
    }
    const nextIntervalMs = Math.min(MAX_PULL_INTERVAL_MS, intervalMs * 2);
    this.pullTimer = clock.schedule(intervalMs, () => this.pull(nextIntervalMs));
  }

  private adopt(memberId: string, reply: RecordsReply): void {
    this.records.import(reply.records);
    this.knowledge?.onRecords(memberId, reply);
  }

  private onClaim(request: ClaimRequest): ClaimReply {
    const { view, knowledge } = this;
    if (view === undefined || knowledge === undefined || request.epoch !== view.spec.epoch) {
      return UNAVAILABLE;
    }
    const replicas = replicasOf(view.spec.members, request.key);
    if (!replicas.some((member) => member.id === this.options.selfId)) return UNAVAILABLE;
    const existing = this.records.find(request.key);
    if (existing !== undefined && existing.callId !== request.callId) {
      return { type: 'held', phase: existing.phase };
    }
    if (!this.mayGrant() || !knowledge.knows(request.key)) return UNAVAILABLE;
    if (existing === undefined) this.records.add(request.key, request.callId);
    return this.grant(replicas);
  }

  private mayGrant(): boolean {
    return !this.handingOver && this.options.silentForMs() < CLAIM_FENCE_MS;
  }

  private grant(replicas: readonly ClaimMember[]): ClaimReply {
    const { selfId: memberId, incarnation } = this.options;
    const known: KnownIncarnation[] = [];
    for (const { id } of replicas) {
      const heard = this.incarnations.get(id);
      if (heard !== undefined) known.push({ memberId: id, incarnation: heard });
    }
    return { type: 'granted', memberId, incarnation, known };
  }

  private onPull(request: PullRequest): ClaimReply {
    const { view } = this;
    if (view === undefined || request.epoch !== view.spec.epoch) return UNAVAILABLE;
    const knowledge = request.mode === 'restart' ? this.knowledge : this.previous;
    this.incarnations.set(request.memberId, request.incarnation);
    this.knowledge?.handedOver.delete(request.memberId);
    return {
      type: 'records',
      records: this.recordsFor(request.memberId, view.spec.members),
      missing: knowledge?.missing,
      handedOver: [...(knowledge?.handedOver ?? [])],
    };
  }

  private onHandover(request: HandoverRequest): ClaimReply {
    if (request.epoch !== this.view?.spec.epoch) return UNAVAILABLE;
    this.records.import(request.records);
    this.knowledge?.handedOver.add(request.memberId);
    return DONE;
  }

  /** The claims for which `memberId` is a replica. */
  private recordsFor(memberId: string, members: readonly ClaimMember[]): ClaimRecord[] {
    return this.records.export((key) =>
      replicasOf(members, key).some((member) => member.id === memberId),
    );
  }

  private otherMembers(): ClaimMember[] {
    const members = this.view?.spec.members ?? [];
    return members.filter((member) => member.id !== this.options.selfId);
  }
}
