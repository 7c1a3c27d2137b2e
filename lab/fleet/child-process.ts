/**
 * Starts and stops one child process. Every program writes a line of JSON with its id and the origins it listens on to
 * its standard output; the start waits for that line.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { openSync, writeSync } from 'node:fs';

/** The line in which a program announces its id and the origins that it listens on. */
export interface Announcement {
  readonly id: string;
  readonly origins: Readonly<Record<string, string>>;
}

const START_TIMEOUT_MS = 20_000;

/** Parses an announcement; returns undefined for log lines, which have a `msg` field, and for plain text. */
function announcementOf(line: string): Announcement | undefined {
  try {
    const fields = JSON.parse(line) as Partial<Announcement> & { readonly msg?: string };
    const { id, origins, msg } = fields;
    return id === undefined || origins === undefined || msg !== undefined
      ? undefined
      : { id, origins };
  } catch {
    // Not JSON: plain text, such as a stack trace; it goes to the log file only.
    return undefined;
  }
}

/** A child process of a fleet. */
export class FleetChild {
  private isExitRequested = false;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    readonly announcement: Announcement,
  ) {}

  /**
   * Starts `node script ...args` and waits for its announcement.
   * @param logFile receives standard output and standard error
   * @throws when the child exits before its announcement, or does not announce itself in time
   */
  static async start(
    name: string,
    script: string,
    args: readonly string[],
    logFile: string,
  ): Promise<FleetChild> {
    const log = openSync(logFile, 'a');
    const child = spawn(process.execPath, [script, ...args], { stdio: ['ignore', 'pipe', log] });
    const announcement = await new Promise<Announcement>((resolve, reject) => {
      const timer = setTimeout(() => {
        child.kill('SIGKILL');
        reject(new Error(`${name} did not start in time; see ${logFile}`));
      }, START_TIMEOUT_MS);
      child.once('exit', (code) => {
        clearTimeout(timer);
        reject(new Error(`${name} exited with code ${code}; see ${logFile}`));
      });
      createInterface({ input: child.stdout! }).on('line', (line) => {
        writeSync(log, `${line}\n`);
        const announced = announcementOf(line);
        if (announced === undefined) return;
        clearTimeout(timer);
        resolve(announced);
      });
    });
    child.removeAllListeners('exit');
    return new FleetChild(name, child, announcement);
  }

  get pid(): number {
    return this.child.pid ?? -1;
  }

  /** Origin that the child announced under `name`. @throws when there is none */
  origin(name: string): string {
    const origin = this.announcement.origins[name];
    if (origin === undefined) throw new Error(`${this.name} announced no origin '${name}'`);
    return origin;
  }

  /** Calls `listener` when the process exits before it was stopped or killed. */
  onOwnExit(listener: () => void): void {
    this.child.once('exit', () => {
      if (!this.isExitRequested) listener();
    });
  }

  /** Sends a signal to this process only, not to its children. */
  signal(signal: NodeJS.Signals): void {
    this.isExitRequested ||= signal === 'SIGTERM' || signal === 'SIGKILL';
    this.child.kill(signal);
  }

  /** Sends SIGTERM, and SIGKILL after `timeoutMs`. @returns the exit code; null if a signal ended the process */
  async stop(timeoutMs: number): Promise<number | null> {
    if (this.child.exitCode !== null) return this.child.exitCode;
    this.isExitRequested = true;
    const ended = new Promise<number | null>((resolve) => this.child.once('exit', resolve));
    this.child.kill('SIGTERM');
    const timer = setTimeout(() => this.child.kill('SIGKILL'), timeoutMs);
    const code = await ended;
    clearTimeout(timer);
    return code;
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    this.isExitRequested = true;
    const ended = new Promise<void>((resolve) => this.child.once('exit', () => resolve()));
    this.child.kill('SIGKILL');
    await ended;
  }
}
