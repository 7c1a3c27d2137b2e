/** A real process of the product whose log lines and end a test observes. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, renameSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';

/** The script of the `shoredoor` command. */
export const PRODUCT_SCRIPT = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));

/** A log line, or the announcement of the origins. */
export type LogRecord = Readonly<Record<string, unknown>> & { readonly msg?: string };

/** How a process ended: by `code`, or by `signal`. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

export class ProductProcess {
  private static readonly running = new Set<ProductProcess>();
  readonly records: LogRecord[] = [];
  /** Resolves when the process has ended and its output has been read. */
  readonly ended: Promise<ProcessEnd>;
  standardError = '';
  private readonly waiting = new Set<() => void>();

  private constructor(private readonly child: ChildProcess) {
    createInterface({ input: child.stdout! }).on('line', (line) => {
      this.records.push(JSON.parse(line) as LogRecord);
      this.wake();
    });
    child.stderr!.on('data', (bytes: Buffer) => (this.standardError += bytes.toString()));
    this.ended = new Promise((resolve) =>
      child.on('close', (code, signal) => resolve({ code, signal })),
    );
    ProductProcess.running.add(this);
    void this.ended.then(() => {
      ProductProcess.running.delete(this);
      this.wake();
    });
  }

  /** Kills the processes that a failed test has left. */
  static async killRemaining(): Promise<void> {
    for (const process of [...ProductProcess.running]) {
      process.kill('SIGKILL');
      await process.ended;
    }
  }

  /** Starts `node ...args`. */
  static start(args: readonly string[]): ProductProcess {
    return new ProductProcess(spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] }));
  }

  get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  get pid(): number {
    return this.child.pid ?? -1;
  }

  /** Returns the first record whose message is `message`, if it has been written. */
  find(message: string): LogRecord | undefined {
    return this.records.find(({ msg }) => msg === message);
  }

  /** Waits for a line. @returns undefined if the process ends without it */
  async line(message: string): Promise<LogRecord | undefined> {
    return this.until(() => this.find(message));
  }

  /** Waits for the line in which a program announces its origins. */
  async announcement(): Promise<Record<string, string> | undefined> {
    const record = await this.until(() =>
      this.records.find(({ origins, msg }) => origins !== undefined && msg === undefined),
    );
    return record?.origins as Record<string, string> | undefined;
  }

  /** Sends a signal; without effect if the process has ended. */
  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  private async until<Value>(find: () => Value | undefined): Promise<Value | undefined> {
    for (;;) {
      const found = find();
      if (found !== undefined || this.child.stdout!.destroyed) return found;
      await new Promise<void>((resolve) => this.waiting.add(resolve));
    }
  }

  private wake(): void {
    for (const resolve of this.waiting) resolve();
    this.waiting.clear();
  }
}

/** A settings file that is replaced as a whole, so that no process reads a part of it. */
export class SettingsFile {
  readonly path: string;
  private readonly folder = mkdtempSync(join(tmpdir(), 'shoredoor-settings-'));

  constructor(settings: object) {
    this.path = join(this.folder, 'settings.yaml');
    this.write(settings);
  }

  write(settings: object): void {
    const next = join(this.folder, 'settings.next');
    writeFileSync(next, stringify(settings));
    renameSync(next, this.path);
  }
}

const ANY_ADDRESS = '127.0.0.1:0';

/** Settings of a sidecar that stops at once, with any free ports. */
export function sidecarDocument(control: string): object {
  return {
    id: 'sidecar-1',
    zone: 'zone-a',
    service: 'ledger',
    inbound: ANY_ADDRESS,
    outbound: ANY_ADDRESS,
    registration: ANY_ADDRESS,
    admin: ANY_ADDRESS,
    control: [control],
    linkToken: 'link-token-0123456789',
    stop: { drainMs: 0, timeoutMs: 0 },
  };
}

/** Settings of a control replica, with any free ports. */
export function controlDocument(seed: string): object {
  return {
    id: 'control-1',
    zone: 'zone-a',
    listen: ANY_ADDRESS,
    admin: ANY_ADDRESS,
    dataDir: mkdtempSync(join(tmpdir(), 'shoredoor-data-')),
    seeds: [seed],
    advertise: seed,
    linkToken: 'link-token-0123456789',
  };
}
