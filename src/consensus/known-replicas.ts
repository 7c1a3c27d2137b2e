/**
 * The replicas that a bootstrapping replica has heard of. They make up the replica set that it proposes, and tell it when
 * it is worth proposing one.
 */
import type { Replica, ReplicaSet } from '../storage/persisted-state.js';
import { type AcceptorRecord, isQuorum, replicaSetOf } from './formation.js';

export interface KnownReplicasOptions {
  readonly self: Replica;
  /** Maximum number of voters; unlimited if undefined. */
  readonly maxVoters: number | undefined;
  /** Time for which an acceptor counts as answering after its last answer, in milliseconds. */
  readonly answeringMs: number;
}

export class KnownReplicas {
  /** The other replicas as last heard, by name. */
  private readonly byName = new Map<string, Replica>();
  /** Time of the last answer of the other acceptors, by origin. */
  private readonly answeredAt = new Map<string, number>();

  constructor(private readonly options: KnownReplicasOptions) {}

  add(replica: Replica): void {
    if (replica.name !== this.options.self.name) this.byName.set(replica.name, replica);
  }

  /** Adds a replica that answers as an acceptor. */
  addAcceptor(replica: Replica, now: number): void {
    this.add(replica);
    this.answeredAt.set(replica.origin, now);
  }

  /** Origins of the acceptors that answer, with this replica's own. */
  answering({ acceptors }: AcceptorRecord, now: number): string[] {
    const { self, answeringMs } = this.options;
    return acceptors.filter((origin) => {
      const isRecent = now - (this.answeredAt.get(origin) ?? -Infinity) <= answeringMs;
      return origin === self.origin || isRecent;
    });
  }

  isQuorumAnswering(record: AcceptorRecord, now: number): boolean {
    return isQuorum(this.answering(record, now).length, record);
  }

  /** Whether the identity of every acceptor is known. */
  hasAllAcceptors({ acceptors }: AcceptorRecord): boolean {
    const origins = new Set(this.all().map(({ origin }) => origin));
    return acceptors.every((origin) => origins.has(origin));
  }

  /** Whether further replicas would not become voters. */
  hasAllVoters({ acceptors, quorum }: AcceptorRecord): boolean {
    const { maxVoters } = this.options;
    const wanted = quorum === 'all' ? acceptors.length : maxVoters;
    return wanted !== undefined && this.all().length >= wanted;
  }

  /**
   * Returns the set to propose. With a quorum of all, the acceptors are the configured replicas, each in its role.
   * Otherwise acceptors become voters before others do; the rest start as learners.
   */
  replicaSet({ acceptors, quorum }: AcceptorRecord): ReplicaSet {
    const isAcceptor = ({ origin }: Replica): boolean => acceptors.includes(origin);
    const sorted = this.all().sort((first, second) => (first.name < second.name ? -1 : 1));
    if (quorum === 'all') return replicaSetOf(sorted.filter(isAcceptor));
    const others = sorted.filter((replica) => !isAcceptor(replica));
    const ranked = [...sorted.filter(isAcceptor), ...others];
    const candidates = ranked.filter(({ role }) => role === 'voter');
    const voters = candidates.slice(0, initialVoters(candidates.length, this.options.maxVoters));
    return { voters, learners: ranked.filter((replica) => !voters.includes(replica)) };
  }

  private all(): Replica[] {
    return [this.options.self, ...this.byName.values()];
  }
}

/** Number of voters of a new set: odd, as a fourth voter lets it bear no more losses than three do. */
function initialVoters(candidates: number, maxVoters = Infinity): number {
  const count = Math.min(candidates, maxVoters);
  return count > 2 && count % 2 === 0 ? count - 1 : count;
}
