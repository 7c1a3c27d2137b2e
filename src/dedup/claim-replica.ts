/**
 * A node as a keeper of claims: grants keys, passes claims on when the view changes or a replica
 * comes back, and refuses what it can't know. Owns the node's claims and what it knows of the epoch; relies on control for
 * views, and on a transport to the other nodes of the view. Pure.
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
  /** Milliseconds since a control replica last answered this process. */
  readonly silentForMs: () => number;
  /** Lab only: believes that it knows every claim, as if nothing was ever lost. */
  readonly assumeWhole?: boolean;
}

/** How long a key is remembered, in milliseconds: a repeat that comes later runs again. */
export const CLAIM_LIFETIME_MS = 10 * 60_000;
/**
 * A process that has not heard from control for this long grants no keys: it may hold a view that the
 * others have left. They rely on it when they wait for old claims to run out.
 */
export const CLAIM_FENCE_MS = 5 * 60_000;

/** First pause before records are asked for again, in milliseconds. */
const FIRST_PULL_INTERVAL_MS = 300;
/** A pull moves all claims, so it is repeated ever less often, up to this pause in milliseconds. */
const MAX_PULL_INTERVAL_MS = 10_000;
const UNAVAILABLE: ClaimReply = { type: 'unavailable' };
const DONE: ClaimReply = { type: 'done' };

export class ClaimReplica {
  readonly records: ClaimRecords;
  private view: ClaimView | undefined;
  private knowledge: ClaimKnowledge | undefined;
  /** Of the epoch before, for those who take over from it. */
  private previous: ClaimKnowledge | undefined;
  private readonly incarnations = new Map<string, number>();
  private handingOver = false;
  private pullTimer: Timer | undefined;
  private completionTimer: Timer | undefined;

  constructor(private readonly options: ClaimReplicaOptions) {
    this.records = new ClaimRecords(options.clock, CLAIM_LIFETIME_MS);
  }

  /** The view that this process goes by. */
  get currentView(): ClaimView | undefined {
    return this.view;
  }

  /** Epoch that this replica has taken over in full from the one before; 0 before any. */
  get settledEpoch(): number {
    const epoch = this.view?.spec.epoch ?? 0;
    return this.knowledge?.isSettled === false ? epoch - 1 : epoch;
  }

  /** Adopts a view. Older ones are ignored. */
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

  /** Handles a message from another node, or from this one. */
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
   * Before a planned stop: grants no more keys and passes the claims on, so that two processes of a
   * service may be restarted together.
   * @param done called when every member has answered or can't be reached
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
    if (this.options.assumeWhole === true) return create('complete');
    if (!wasThere) return create('restart');
    return create(epoch === 1 ? 'complete' : 'transition');
  }

  /** After long enough, everything that this replica could lack has run out. */
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

  /** The claims that a member keeps among `members`. */
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
