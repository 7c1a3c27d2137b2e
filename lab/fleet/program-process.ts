/**
 * A program of the product as a child process on loopback, restarted with the same settings each time. Its settings
 * file and its log are in a folder of the caller.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { FleetChild } from './child-process.js';

const PRODUCT_SCRIPT = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const LINK_TOKEN = 'lab-link-token-0123456789';

/** A loopback address with a port chosen by the operating system. */
export const ANY_PORT = { host: '127.0.0.1', port: 0 };

/** Programs of the product, by their command names. */
export type ProgramName = 'control' | 'edge' | 'node' | 'sidecar';

/** Settings that all programs have. */
export function commonSettings(id: string): object {
  return { id, zone: 'zone-a', admin: ANY_PORT, linkToken: LINK_TOKEN };
}

export class ProgramProcess {
  /** Number of ends that no signal of this object caused. */
  ownExits = 0;
  private child: FleetChild | undefined;

  /** @param settings all but id, link token and admin address; `zone` defaults to `zone-a` */
  constructor(
    readonly id: string,
    private readonly program: ProgramName,
    private readonly workDir: string,
    private readonly settings: object,
  ) {}

  /** Starts the process and waits for its announcement. @throws when it exits or does not announce itself in time */
  async start(): Promise<void> {
    const { id, program, workDir } = this;
    const file = join(workDir, `${id}.yaml`);
    writeFileSync(file, stringify({ ...commonSettings(id), ...this.settings }));
    const args = [program, '--config', file];
    this.child = await FleetChild.start(id, PRODUCT_SCRIPT, args, join(workDir, `${id}.log`));
    this.child.onOwnExit(() => (this.ownExits += 1));
  }

  /** Process id. @throws before the first start */
  get pid(): number {
    return this.started.pid;
  }

  /** Origin that the program announced under `name`. @throws before the first start, or when there is none */
  origin(name: string): string {
    return this.started.origin(name);
  }

  /** Sends a signal; has no effect before the first start. */
  signal(signal: NodeJS.Signals): void {
    this.child?.signal(signal);
  }

  /** Sends SIGTERM, and SIGKILL after `timeoutMs`. @returns the exit code; null if a signal ended the process */
  async stop(timeoutMs: number): Promise<number | null> {
    return (await this.child?.stop(timeoutMs)) ?? null;
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<void> {
    await this.child?.kill();
  }

  private get started(): FleetChild {
    if (this.child === undefined) throw new Error(`${this.id} was not started`);
    return this.child;
  }
}
