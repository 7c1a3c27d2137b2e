/**
 * Merges the small chunks of a body that arrive in one turn of the event loop. Every chunk that is written costs objects of a
 * fixed size, so that a body of tiny chunks would take many times its own bytes while it waits for a slow reader.
 */

/** Size of a merged chunk, in bytes. Chunks that are larger are passed on as they are. */
const MERGED_BYTES = 16 * 1024;

export class ChunkMerger {
  /** The only chunk of this turn so far. */
  private single: Buffer | undefined;
  /** Chunks of this turn, copied. */
  private merged: Buffer | undefined;
  private mergedBytes = 0;
  private isFlushScheduled = false;

  /** @param write receives the merged chunks, at the latest at the end of the turn */
  constructor(private readonly write: (chunk: Buffer) => void) {}

  /** Adds a chunk after all earlier ones. */
  add(chunk: Buffer): void {
    if (chunk.length >= MERGED_BYTES) {
      this.flush();
      this.write(chunk);
      return;
    }
    this.scheduleFlush();
    if (this.single === undefined && this.merged === undefined) {
      this.single = chunk;
      return;
    }
    this.append(this.single);
    this.single = undefined;
    this.append(chunk);
  }

  /** Writes what was added so far. */
  flush(): void {
    const { single, merged, mergedBytes } = this;
    this.clear();
    if (single !== undefined) this.write(single);
    else if (merged !== undefined) this.write(trim(merged, mergedBytes));
  }

  /** Drops what was not written yet. */
  clear(): void {
    this.single = undefined;
    this.merged = undefined;
    this.mergedBytes = 0;
  }

  private append(chunk: Buffer | undefined): void {
    if (chunk === undefined) return;
    if (this.mergedBytes + chunk.length > MERGED_BYTES) this.flushMerged();
    this.merged ??= Buffer.allocUnsafeSlow(MERGED_BYTES);
    this.mergedBytes += chunk.copy(this.merged, this.mergedBytes);
  }

  private flushMerged(): void {
    const { merged, mergedBytes } = this;
    this.merged = undefined;
    this.mergedBytes = 0;
    if (merged !== undefined) this.write(trim(merged, mergedBytes));
  }

  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    process.nextTick(() => {
      this.isFlushScheduled = false;
      this.flush();
    });
  }
}

/** Returns the first bytes of a buffer, copied where they would keep more than twice their memory. */
function trim(buffer: Buffer, length: number): Buffer {
  const used = buffer.subarray(0, length);
  return 2 * length < buffer.length ? Buffer.from(used) : used;
}
