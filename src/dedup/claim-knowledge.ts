/**
 * For which keys a replica knows every claim that may have been granted in an epoch. It says so for a
 * key only if it has heard from enough of the key's replicas; otherwise a call with that key is
 * refused, because it can't be known whether it ran before. docs/design/at-most-once.md has the proof.
 *
 * Owned by a replica for each epoch; relies on the records that the other replicas send. Pure.
 */
import type { RecordsReply } from './claim-messages.js';
import { CLAIM_REPLICAS, claimQuorum, replicasOf, type ClaimMember } from './claim-view.js';

/** How complete a replica's knowledge of an epoch is. */
export type KnowledgeMode =
  /** It has been there since the epoch began, or has caught up in full. */
  | 'complete'
  /** It lost its memory within the epoch: it needs all other replicas of a key. */
  | 'restart'
  /** It takes over from the epoch before: it needs a quorum of a key's replicas there. */
  | 'transition';

export class ClaimKnowledge {
  private readonly repliesByMember = new Map<string, RecordsReply>();
  /** Members that passed on all their claims to this replica and have not come back since. */
  readonly handedOver = new Set<string>();

  /**
   * @param members replicas of the epoch that must be heard from: the epoch itself in `restart`, the
   *   one before in `transition`
   * @param knowsAsPredecessor whether this process, itself a replica of the epoch before, knew every
   *   claim of a key there
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

  /** Whether the epoch before has been taken over. */
  get isSettled(): boolean {
    return this.mode !== 'transition';
  }

  get pullMode(): 'restart' | 'transition' | undefined {
    return this.mode === 'complete' ? undefined : this.mode;
  }

  /** Members still to be asked, or to be asked again because they lacked something themselves. */
  get pendingMemberIds(): string[] {
    const ids = this.members.map((member) => member.id);
    return ids.filter(
      (id) => id !== this.selfId && this.repliesByMember.get(id)?.missing?.length !== 0,
    );
  }

  /** What this replica may lack, for others; undefined when it may lack any claim. */
  get missing(): readonly string[] | undefined {
    if (this.mode === 'complete') return [];
    if (this.mode === 'transition') return undefined;
    return this.pendingMemberIds.filter((id) => !this.isHandedOverToOthers(id));
  }

  /** Time alone has made everything known: every claim that could be missing has run out. */
  markComplete(): void {
    this.mode = 'complete';
  }

  onRecords(memberId: string, reply: RecordsReply): void {
    this.repliesByMember.set(memberId, reply);
    if (this.mode === 'restart' && this.missing?.length === 0) this.mode = 'complete';
    if (this.mode === 'transition' && this.hasEnoughPredecessors()) this.mode = 'complete';
  }

  /** Whether every claim of the key that may have been granted is known here. */
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

  /** Whether a member's claims of a key with these replicas are known, from itself or another. */
  private isKnown(id: string, replicas: readonly ClaimMember[]): boolean {
    const reply = this.repliesByMember.get(id);
    if (reply !== undefined && knowsKeyOf(id, reply, replicas)) return true;
    return replicas.some((member) => {
      const other = this.repliesByMember.get(member.id);
      return other?.handedOver.includes(id) === true && knowsKeyOf(member.id, other, replicas);
    });
  }

  /** Whether a member passed on its claims to all others, and they said so. */
  private isHandedOverToOthers(id: string): boolean {
    return this.members.every((member) => {
      if (member.id === id || member.id === this.selfId) return true;
      return this.repliesByMember.get(member.id)?.handedOver.includes(id) === true;
    });
  }

  /** Whether whatever a key's replicas were, a quorum of them has been heard. */
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

/** Whether the sender of `reply` knew every claim of a key with these replicas. */
function knowsKeyOf(id: string, reply: RecordsReply, replicas: readonly ClaimMember[]): boolean {
  const { missing } = reply;
  if (missing === undefined) return false;
  return replicas.every((member) => member.id === id || !missing.includes(member.id));
}
