/** Linearizable reads that wait for a majority to confirm the leader, or for their read index to be applied. */

/** Receives whether the read may be served. */
export type ReadCallback = (confirmed: boolean) => void;

interface UnconfirmedRead {
  readonly round: number;
  readonly index: number;
  readonly callback: (index: number | undefined) => void;
}

interface WaitingRead {
  readonly index: number;
  readonly callback: ReadCallback;
}

export class PendingReads {
  private unconfirmed: UnconfirmedRead[] = [];
  private waiting: WaitingRead[] = [];

  /** Adds a read that waits until a majority has answered heartbeat round `round`. */
  addUnconfirmed(
    round: number,
    index: number,
    callback: (index: number | undefined) => void,
  ): void {
    this.unconfirmed.push({ round, index, callback });
  }

  /** Completes the reads of all rounds up to `round`, which a majority has answered. */
  onConfirmed(round: number): void {
    const confirmed = this.unconfirmed.filter((read) => read.round <= round);
    if (confirmed.length === 0) return;
    this.unconfirmed = this.unconfirmed.filter((read) => read.round > round);
    for (const read of confirmed) read.callback(read.index);
  }

  /** Calls `callback` once `index` is applied, or at once if it already is. */
  addWaiting(index: number, appliedIndex: number, callback: ReadCallback): void {
    if (index <= appliedIndex) callback(true);
    else this.waiting.push({ index, callback });
  }

  onApplied(appliedIndex: number): void {
    const ready = this.waiting.filter((read) => read.index <= appliedIndex);
    if (ready.length === 0) return;
    this.waiting = this.waiting.filter((read) => read.index > appliedIndex);
    for (const read of ready) read.callback(true);
  }

  /** Fails all unconfirmed reads, after the leader stepped down. */
  failUnconfirmed(): void {
    const failed = this.unconfirmed;
    this.unconfirmed = [];
    for (const read of failed) read.callback(undefined);
  }
}
