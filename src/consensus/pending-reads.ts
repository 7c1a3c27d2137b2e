/** Reads that wait for a majority to confirm the leader, and then for their index to be applied. */

/** Called with whether the read may be served. */
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

  /** A read that needs the heartbeat round `round` to be answered by a majority. */
  addUnconfirmed(
    round: number,
    index: number,
    callback: (index: number | undefined) => void,
  ): void {
    this.unconfirmed.push({ round, index, callback });
  }

  /** A majority has answered the given round. */
  onConfirmed(round: number): void {
    const confirmed = this.unconfirmed.filter((read) => read.round <= round);
    if (confirmed.length === 0) return;
    this.unconfirmed = this.unconfirmed.filter((read) => read.round > round);
    for (const read of confirmed) read.callback(read.index);
  }

  /** Calls back once `index` is applied. */
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

  /** The leader stepped down: reads that were not confirmed fail. */
  failUnconfirmed(): void {
    const failed = this.unconfirmed;
    this.unconfirmed = [];
    for (const read of failed) read.callback(undefined);
  }
}
