/**
 * Selects the control replica that a process syncs with. Switches away from a replica that does not reply, has no leader or
 * is behind, if another one is healthy. Also keeps the list of known replicas. Pure: the random source is injected.
 */
import type { RandomSource } from '../common/random.js';
import type { CurrentReply } from './heartbeat-round.js';

/** Result of evaluating the replies to one heartbeat. */
export type ReplicaSelection =
  /** No replica that has a leader replied: the selection is unchanged, and the initial origins are known again. */
  | { readonly type: 'none' }
  | { readonly type: 'stay'; readonly followed: CurrentReply; readonly newest: CurrentReply }
  | {
      readonly type: 'change';
      /** Origin of the previously selected replica. */
      readonly left: string;
      readonly cause: 'behind' | 'no reply or no leader';
      /** Reply of the newly selected replica. */
      readonly newest: CurrentReply;
    };

export class ReplicaSelector {
  private knownOrigins: readonly string[];
  private chosen: string;
  /** Newest revision that any replica reported in reply to the previous heartbeat. */
  private newestRevision = 0;

  /** @param seeds initial origins, added again when no replica that has a leader replies */
  constructor(
    private seeds: readonly string[],
    private readonly random: RandomSource,
  ) {
    this.knownOrigins = seeds;
    this.chosen = seeds[random.nextInt(seeds.length)]!;
  }

  get origins(): readonly string[] {
    return this.knownOrigins;
  }

  /** Origin of the selected replica. */
  get origin(): string {
    return this.chosen;
  }

  /** Replaces the initial origins, and adds them to the known ones. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.knownOrigins = merged(this.knownOrigins, seeds);
  }

  /** Selects a random other replica if `origin` is selected. Does nothing if no other one is known. */
  switchAwayFrom(origin: string): void {
    if (this.chosen !== origin) return;
    const others = this.knownOrigins.filter((each) => each !== origin);
    if (others.length > 0) this.chosen = others[this.random.nextInt(others.length)]!;
  }

  /**
   * Selects a replica by the replies to one heartbeat.
   * @param current replies of the replicas that have a leader
   * @param appliedRevision revision that this process has applied
   */
  selectReplica(current: readonly CurrentReply[], appliedRevision: number): ReplicaSelection {
    const newest = this.oneOfNewest(current);
    if (newest === undefined) {
      this.knownOrigins = merged(this.knownOrigins, this.seeds);
      return { type: 'none' };
    }
    this.adoptOrigins(current);
    const followed = current.find(({ origin }) => origin === this.chosen);
    const isBehind = followed !== undefined && this.isBehind(followed, appliedRevision);
    this.newestRevision = newest.reply.revision;
    if (followed !== undefined && !isBehind) return { type: 'stay', followed, newest };
    const left = this.chosen;
    this.chosen = newest.origin;
    const cause = isBehind ? 'behind' : 'no reply or no leader';
    return { type: 'change', left, cause, newest };
  }

  /** Picks a random replica among those with the newest revision, so that followers spread over them. */
  private oneOfNewest(current: readonly CurrentReply[]): CurrentReply | undefined {
    const newestRevision = Math.max(...current.map(({ reply }) => reply.revision));
    const newest = current.filter(({ reply }) => reply.revision === newestRevision);
    return newest.length === 0 ? undefined : newest[this.random.nextInt(newest.length)];
  }

  /**
   * Whether neither the replica nor this process has a revision that some replica reported one heartbeat earlier. The
   * replica has had that long to receive it: replicas do not apply a revision at the same moment.
   */
  private isBehind({ reply }: CurrentReply, appliedRevision: number): boolean {
    const { newestRevision } = this;
    return reply.revision < newestRevision && appliedRevision < newestRevision;
  }

  private adoptOrigins(current: readonly CurrentReply[]): void {
    const reported = current.flatMap(({ reply }) => reply.controlOrigins ?? []);
    if (reported.length > 0) this.knownOrigins = [...new Set(reported)];
  }
}

/** Concatenates both lists without duplicates. */
function merged(first: readonly string[], second: readonly string[]): readonly string[] {
  return [...new Set([...first, ...second])];
}
