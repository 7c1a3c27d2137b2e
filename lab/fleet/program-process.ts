/**
 * A program of the product as a process of its own on loopback, started with the same settings each time.
 * Owns the process and its settings file; logs and settings lie in a folder that the caller gives.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { FleetChild } from './child-process.js';

const PRODUCT_SCRIPT = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const LINK_TOKEN = 'lab-link-token-0123456789';

/** An address whose port the system chooses. */
export const ANY_PORT = { host: '127.0.0.1', port: 0 };

/** Programs of the product, as the command line names them. */
export type ProgramName = 'control' | 'edge' | 'node' | 'sidecar';

export class ProgramProcess {
  private child: FleetChild | undefined;

  /** @param settings besides id, link token and admin address; the zone is `zone-a` unless they name one */
  constructor(
    readonly id: string,
    private readonly program: ProgramName,
    private readonly workDir: string,
    private readonly settings: object,
  ) {}

  /** Starts it and waits until it listens. @throws when the process ends, or says nothing, at its start */
  async start(): Promise<void> {
    const { id, program, workDir } = this;
    const file = join(workDir, `${id}.yaml`);
    const common = { id, zone: 'zone-a', admin: ANY_PORT, linkToken: LINK_TOKEN };
    writeFileSync(file, stringify({ ...common, ...this.settings }));
    const args = [program, '--config', file];
    this.child = await FleetChild.start(id, PRODUCT_SCRIPT, args, join(workDir, `${id}.log`));
  }

  /** Process id. @throws before the first start */
  get pid(): number {
    return this.started.pid;
  }

  /** Origin that the program bound under `name`. @throws before the first start, or when it bound none */
  origin(name: string): string {
    return this.started.origin(name);
  }

  /** Sends a signal; nothing before the first start. */
  signal(signal: NodeJS.Signals): void {
    this.child?.signal(signal);
  }

  /** Ends it as planned. @returns the exit code; null where it had to be killed after `timeoutMs` */
  async stop(timeoutMs: number): Promise<number | null> {
    return (await this.child?.stop(timeoutMs)) ?? null;
  }

  /** Ends it at once and waits for its end. */
  async kill(): Promise<void> {
    await this.child?.kill();
  }

  private get started(): FleetChild {
    if (this.child === undefined) throw new Error(`${this.id} was not started`);
    return this.child;
  }
}
