/**
 * Tracks for which keys a replica knows every claim that may have been granted in an epoch. This holds for a key once
 * enough of the key's replicas have sent their records. Until then claims of the key are not granted, because its call may
 * have run before. See docs/design/at-most-once.md for the proof. Pure.
 */
import type { RecordsReply } from './claim-messages.js';
import { CLAIM_REPLICAS, claimQuorum, replicasOf, type ClaimMember } from './claim-view.js';

/** How a replica obtains the claims of an epoch. */
export type KnowledgeMode =
  /** It knows all of them: it took part from the start of the epoch, or has caught up. */
  | 'complete'
  /** It was restarted during the epoch: it needs the records of all other replicas of a key. */
  | 'restart'
  /** It takes over from the previous epoch: it needs the records of a quorum of a key's replicas in that epoch. */
  | 'transition';

export class ClaimKnowledge {
  private readonly repliesByMember = new Map<string, RecordsReply>();
  /** Members that handed over all their claims to this replica and have not pulled records since. */
  readonly handedOver = new Set<string>();

  /**
   * @param members members to pull records from: those of this epoch in `restart`, those of the previous epoch in
   *   `transition`
   * @param knowsAsPredecessor whether this process knew every claim of a key as a replica of the previous epoch
   * @param wasComplete whether this process knew every claim of the previous epoch
   */
  constructor(
    private mode: KnowledgeMode,
    private readonly selfId: string,
    private readonly members: readonly ClaimMember[],
    private readonly knowsAsPredecessor: (key: string) => boolean,
    private readonly wasComplete: boolean,
  ) {}

  get isComplete(): boolean {
    return this.mode === 'complete';
  }

  /** Whether the claims of the previous epoch have been taken over. */
  get isSettled(): boolean {
    return this.mode !== 'transition';
  }

  get pullMode(): 'restart' | 'transition' | undefined {
    return this.mode === 'complete' ? undefined : this.mode;
  }

  /** Members whose records have not arrived, or were incomplete when they did. */
  get pendingMemberIds(): string[] {
    const ids = this.members.map((member) => member.id);
    return ids.filter(
      (id) => id !== this.selfId && this.repliesByMember.get(id)?.missing?.length !== 0,
    );
  }

  /** Members whose claims this replica may lack; undefined if it may lack any claim. */
  get missing(): readonly string[] | undefined {
    if (this.mode === 'complete') return [];
    if (this.mode === 'transition') return undefined;
    return this.pendingMemberIds.filter((id) => !this.isHandedOverToOthers(id));
  }

  /** Called when every claim that could be missing has expired. */
  markComplete(): void {
    this.mode = 'complete';
  }

  onRecords(memberId: string, reply: RecordsReply): void {
    this.repliesByMember.set(memberId, reply);
    if (this.mode === 'restart' && this.missing?.length === 0) this.mode = 'complete';
    if (this.mode === 'transition' && this.hasEnoughPredecessors()) this.mode = 'complete';
  }

  /** Whether this replica knows every claim of the key that may have been granted. */
  knows(key: string): boolean {
    if (this.mode === 'complete') return true;
    const replicas = replicasOf(this.members, key);
    const others = replicas.filter((member) => member.id !== this.selfId);
    if (this.mode === 'restart') return others.every(({ id }) => this.isKnown(id, replicas));
    const known = others.filter(({ id }) => this.isKnown(id, replicas)).length;
    const isPredecessor = others.length < replicas.length;
    const own = isPredecessor && this.knowsAsPredecessor(key) ? 1 : 0;
    return known + own >= claimQuorum(replicas.length);
  }

  /** Whether a member's claims of a key with these replicas were received, from the member or from one it handed them to. */
  private isKnown(id: string, replicas: readonly ClaimMember[]): boolean {
    const reply = this.repliesByMember.get(id);
    if (reply !== undefined && knowsKeyOf(id, reply, replicas)) return true;
    return replicas.some((member) => {
      const other = this.repliesByMember.get(member.id);
      return other?.handedOver.includes(id) === true && knowsKeyOf(member.id, other, replicas);
    });
  }

  /** Whether all other members report that this member handed over its claims to them. */
  private isHandedOverToOthers(id: string): boolean {
    return this.members.every((member) => {
      if (member.id === id || member.id === this.selfId) return true;
      return this.repliesByMember.get(member.id)?.handedOver.includes(id) === true;
    });
  }

  /** Whether complete records have arrived from a quorum of the previous replicas of any possible key. */
  private hasEnoughPredecessors(): boolean {
    const replicas = Math.min(CLAIM_REPLICAS, this.members.length);
    const maxLacking = replicas - claimQuorum(replicas);
    const lacking = this.members.filter(({ id }) => {
      if (id === this.selfId) return !this.wasComplete;
      return this.repliesByMember.get(id)?.missing?.length !== 0;
    });
    return lacking.length <= maxLacking;
  }
}

/** Whether the member `id`, the sender of `reply`, knew every claim of a key with these replicas. */
function knowsKeyOf(id: string, reply: RecordsReply, replicas: readonly ClaimMember[]): boolean {
  const { missing } = reply;
  if (missing === undefined) return false;
  return replicas.every((member) => member.id === id || !missing.includes(member.id));
}
