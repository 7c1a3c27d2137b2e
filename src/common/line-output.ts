/**
 * Writes lines to a descriptor without waiting for it and without failing: lines that cannot be written now are kept up to
 * a limit and tried again, lines beyond it are counted. Streams of Node.js do not fit: one that has failed never writes again.
 */
import { constants, fstatSync, openSync, writeSync } from 'node:fs';

/** Maximum size of the lines that wait to be written, in bytes. */
const MAX_PENDING_BYTES = 256 * 1024;
/** Delay before the first retry, in milliseconds; doubles until something can be written again. */
const FIRST_RETRY_MS = 10;
/** Maximum delay between retries, in milliseconds. */
const MAX_RETRY_MS = 1_000;

/** Writes bytes without blocking. @returns the number of bytes written. @throws if none can be written now */
type WriteBytes = (bytes: Uint8Array) => number;

/** Called when lines can be written again, with the number of lost lines and the code of the last error. */
type LossListener = (lines: number, cause: string) => void;

export class LineOutput {
  private readonly pending: Uint8Array[] = [];
  private pendingBytes = 0;
  private lost = 0;
  private cause = '';
  private retryMs = FIRST_RETRY_MS;
  private onLoss: LossListener = () => undefined;

  constructor(private readonly writeBytes: WriteBytes) {}

  /** Sets the listener for lost lines; it may write to this output. */
  reportLossTo(listener: LossListener): void {
    this.onLoss = listener;
  }

  /** Writes a line, which must include its line break. Never throws. */
  write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.pending.length > 0) {
      this.enqueue(bytes);
      return;
    }
    const rest = this.tryWrite(bytes);
    if (rest !== undefined) this.keep(rest);
  }

  /**
   * Writes a line now, after all pending ones.
   * @returns false if nothing of it was written, because earlier lines are still pending or the write failed
   */
  writeNow(line: string): boolean {
    this.flush();
    if (this.pending.length > 0) return false;
    const bytes = Buffer.from(line);
    const rest = this.tryWrite(bytes);
    if (rest === undefined) return true;
    if (rest.length === bytes.length) return false;
    this.keep(rest);
    return true;
  }

  /** Writes as many pending lines as possible now. */
  flush(): void {
    for (let first = this.pending[0]; first !== undefined; first = this.pending[0]) {
      const rest = this.tryWrite(first);
      if (rest !== undefined) {
        this.pendingBytes -= first.length - rest.length;
        this.pending[0] = rest;
        return;
      }
      this.pendingBytes -= first.length;
      this.pending.shift();
    }
    this.reportLoss();
  }

  private keep(rest: Uint8Array): void {
    this.pending.push(rest);
    this.pendingBytes += rest.length;
    this.scheduleRetry();
  }

  /** Keeps lines in order: after a loss, no line is kept until all lines before it have been written. */
  private enqueue(bytes: Uint8Array): void {
    if (this.lost > 0 || this.pendingBytes + bytes.length > MAX_PENDING_BYTES) {
      this.lost += 1;
      return;
    }
    this.pending.push(bytes);
    this.pendingBytes += bytes.length;
  }

  /** @returns the bytes that could not be written, if any */
  private tryWrite(bytes: Uint8Array): Uint8Array | undefined {
    let written = 0;
    try {
      while (written < bytes.length) {
        written += this.writeBytes(written === 0 ? bytes : bytes.subarray(written));
        this.retryMs = FIRST_RETRY_MS;
      }
      return undefined;
    } catch (error) {
      // Reported with the lost lines, if any: there is no other output to report it to.
      this.cause = (error as NodeJS.ErrnoException).code ?? String(error);
      return bytes.subarray(written);
    }
  }

  private reportLoss(): void {
    if (this.lost === 0) return;
    const lines = this.lost;
    this.lost = 0;
    this.onLoss(lines, this.cause);
  }

  private scheduleRetry(): void {
    setTimeout(() => {
      this.flush();
      if (this.pending.length > 0) this.scheduleRetry();
    }, this.retryMs).unref();
    this.retryMs = Math.min(this.retryMs * 2, MAX_RETRY_MS);
  }
}

const STANDARD_OUTPUT = 1;
let standardOutput: LineOutput | undefined;

/** The standard output of this process. It is tried once more when the process exits. */
export function getStandardOutput(): LineOutput {
  if (standardOutput !== undefined) return standardOutput;
  // Without a listener, a failed write of other code to one of these streams ends the process.
  for (const stream of [process.stdout, process.stderr]) stream.on('error', () => undefined);
  const descriptor = openNonBlocking(STANDARD_OUTPUT);
  const output = new LineOutput((bytes) => writeSync(descriptor, bytes));
  process.once('exit', () => output.flush());
  standardOutput = output;
  return output;
}

/**
 * Opens a pipe or device again, without blocking: the mode of the inherited one is shared with other processes, any of which
 * may reset it. Sockets cannot be opened again, but process.stdout has made them non-blocking; files never block.
 */
export function openNonBlocking(descriptor: number): number {
  const status = fstatSync(descriptor);
  if (!status.isFIFO() && !status.isCharacterDevice()) return descriptor;
  const { O_WRONLY, O_NONBLOCK, O_NOCTTY } = constants;
  try {
    return openSync(`/proc/self/fd/${descriptor}`, O_WRONLY | O_NONBLOCK | O_NOCTTY);
  } catch {
    // It has no reader now or belongs to another user. Process.stdout has made it non-blocking, too.
    return descriptor;
  }
}
