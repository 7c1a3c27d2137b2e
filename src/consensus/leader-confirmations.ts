/**
 * When a majority last confirmed a leader, counted from the start of the round of heartbeats that it answered: no other
 * leader had been elected by then, so nothing unknown here had been acknowledged.
 */

interface Round {
  readonly round: number;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
}

/** Rounds that are not confirmed yet: a leader without a majority steps down after a few. */
const MAX_ROUNDS = 64;

export class LeaderConfirmations {
  private rounds: Round[] = [];
  private lastAt: number | undefined;

  /** Start of the newest round that was confirmed, in monotonic milliseconds; undefined before the first. */
  get confirmedAt(): number | undefined {
    return this.lastAt;
  }

  /** A round begins. */
  onRound(round: number, startedAt: number): void {
    if (this.rounds.length >= MAX_ROUNDS) this.rounds.shift();
    this.rounds.push({ round, startedAt });
  }

  /** A majority has answered this round. */
  onConfirmed(confirmedRound: number): void {
    let next = this.rounds[0];
    while (next !== undefined && next.round <= confirmedRound) {
      this.lastAt = next.startedAt;
      this.rounds.shift();
      next = this.rounds[0];
    }
  }

  /** The replica leads no longer. */
  clear(): void {
    this.rounds = [];
    this.lastAt = undefined;
  }
}
