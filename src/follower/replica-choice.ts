/**
 * Which control replica a process syncs with. It leaves one that is silent, has no leader, or is behind, while another one is
 * well. Owns the origins of the replicas as they report them, and those to begin with. Pure: the random source comes in.
 */
import type { RandomSource } from '../common/random.js';
import type { CurrentReply } from './heartbeat-round.js';

/** What the answers to one heartbeat mean for the choice. */
export type ReplicaSelection =
  /** No replica that has a leader has answered: the choice stands, and the first origins are asked again too. */
  | { readonly type: 'none' }
  | { readonly type: 'stay'; readonly followed: CurrentReply; readonly newest: CurrentReply }
  | {
      readonly type: 'change';
      /** Origin of the replica before. */
      readonly left: string;
      readonly cause: 'behind' | 'silent or without a leader';
      /** The replica that is followed from now on. */
      readonly newest: CurrentReply;
    };

export class ReplicaSelector {
  private knownOrigins: readonly string[];
  private chosen: string;
  /** Newest revision that any replica reported at the heartbeat before. */
  private newestRevision = 0;

  /** @param seeds origins to begin with, and to ask again when no other replica answers */
  constructor(
    private seeds: readonly string[],
    private readonly random: RandomSource,
  ) {
    this.knownOrigins = seeds;
    this.chosen = seeds[random.below(seeds.length)]!;
  }

  /** Origins of all replicas known. */
  get origins(): readonly string[] {
    return this.knownOrigins;
  }

  /** The replica that syncs are sent to. */
  get origin(): string {
    return this.chosen;
  }

  /** Adopts other replicas to begin with. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.knownOrigins = merged(this.knownOrigins, seeds);
  }

  /** Chooses another replica than `origin`, if that is the one chosen; the same one where there is no other. */
  switchAwayFrom(origin: string): void {
    if (this.chosen !== origin) return;
    const others = this.knownOrigins.filter((each) => each !== origin);
    if (others.length > 0) this.chosen = others[this.random.below(others.length)]!;
  }

  /**
   * Judges the replicas by one heartbeat.
   * @param current answers of the replicas that have a leader
   * @param appliedRevision revision in force here
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
    const cause = isBehind ? 'behind' : 'silent or without a leader';
    return { type: 'change', left, cause, newest };
  }

  /** One of the replicas that report the newest revision: by lot, so that followers spread. */
  private oneOfNewest(current: readonly CurrentReply[]): CurrentReply | undefined {
    const newestRevision = Math.max(...current.map(({ reply }) => reply.revision));
    const newest = current.filter(({ reply }) => reply.revision === newestRevision);
    return newest.length === 0 ? undefined : newest[this.random.below(newest.length)];
  }

  /** Whether the replica lacks a revision that another one gave out a heartbeat ago. */
  private isBehind({ reply }: CurrentReply, appliedRevision: number): boolean {
    const { newestRevision } = this;
    return reply.revision < newestRevision && appliedRevision < newestRevision;
  }

  private adoptOrigins(current: readonly CurrentReply[]): void {
    const reported = current.flatMap(({ reply }) => reply.controlOrigins ?? []);
    if (reported.length > 0) this.knownOrigins = [...new Set(reported)];
  }
}

/** Both lists, each origin once. */
function merged(first: readonly string[], second: readonly string[]): readonly string[] {
  return [...new Set([...first, ...second])];
}
