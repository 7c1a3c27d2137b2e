/** One process of a soak of starts under a supervisor, which starts it as planned and restarts it whenever it ends. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, fstatSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { stringify } from 'yaml';
import { ENGINE_FLAGS } from '../../scripts/engine.js';
import type { BundledPrograms } from './bundled-programs.js';
import { HeldPort } from './held-port.js';
import { GRACE_MS } from './soak-settings.js';
import {
  LogOutput,
  type PlannedSignal,
  type PlannedStart,
  type StartSignal,
} from './start-plan.js';

export interface SupervisedOptions {
  readonly id: string;
  readonly program: 'control' | 'sidecar';
  readonly programs: BundledPrograms;
  readonly workDir: string;
  readonly start: PlannedStart;
  /** Ports that it listens on. Another process may hold the first one at the start. */
  readonly ports: readonly number[];
  /** Settings. @param isFirst whether the process has not been started before */
  readonly settings: (isFirst: boolean) => object;
}

/** A signal that was sent, and whether the process was already past the first statement of the launcher. */
interface SentSignal {
  readonly signal: StartSignal;
  readonly wasRunning: boolean;
}

/** Ends of a process with the same description that nothing explains. */
export interface OwnEnds {
  readonly description: string;
  readonly count: number;
  /** Last line that the process wrote before the first of them. */
  readonly lastLine: string;
}

const FULL_DEVICE = '/dev/full';
const POLL_MS = 2;
/** A signal that a process does not handle has ended it by this time, in milliseconds. */
const HANDLED_MS = 100;
const LAST_LINE_CHARACTERS = 200;

export class SupervisedProcess {
  /** By their descriptions. */
  readonly ownEnds = new Map<string, OwnEnds>();
  private child: ChildProcess | undefined;
  private sent: SentSignal[] = [];
  private startedAt = 0;
  private starts = 0;
  /** Length of the log at the start of the process, in bytes. */
  private logLength = 0;
  /** Its ports, until it is started: other runs on this machine must not take them. */
  private heldPorts: HeldPort[] = [];
  private isAddressHeld = false;
  private isShutDown = false;
  private restart: Promise<void> = Promise.resolve();

  constructor(private readonly options: SupervisedOptions) {}

  get id(): string {
    return this.options.id;
  }

  get isRunning(): boolean {
    return this.child !== undefined && !hasEnded(this.child);
  }

  /** Reserves its ports until the first start. */
  async reservePorts(): Promise<void> {
    this.heldPorts = await Promise.all(this.options.ports.map((port) => HeldPort.hold(port)));
  }

  /** Starts the process and lets its planned troubles pass. Resolves when they are over and it has been restarted. */
  async runPlan(): Promise<void> {
    const { delayMs, signals, addressHeldMs } = this.options.start;
    await pause(delayMs);
    this.isAddressHeld = addressHeldMs > 0;
    await this.releasePorts(this.isAddressHeld ? 1 : 0);
    this.startChild();
    const from = this.startedAt;
    const free = pause(addressHeldMs).then(() => this.releasePorts(0));
    for (const signal of signals) await this.sendAt(signal, from);
    await free;
    await this.waitForRestart();
  }

  private async releasePorts(from: number): Promise<void> {
    await Promise.all(this.heldPorts.slice(from).map((port) => port.release()));
    this.isAddressHeld &&= from > 0;
  }

  /** Waits until a process that got a signal has ended, unless it handles the signal and goes on, and has been restarted. */
  private async waitForRestart(): Promise<void> {
    const { child } = this;
    if (child !== undefined && !hasEnded(child) && this.sent.length > 0) {
      const isStopped = this.sent.some(({ signal }) => signal !== 'SIGHUP');
      await Promise.race([once(child, 'exit'), pause(isStopped ? GRACE_MS : HANDLED_MS)]);
    }
    await this.restart;
  }

  /** Kills the process, which is not restarted. */
  async end(): Promise<void> {
    this.isShutDown = true;
    await this.releasePorts(0);
    await this.restart;
    if (this.child === undefined || hasEnded(this.child)) return;
    const ended = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await ended;
  }

  private startChild(): void {
    const { id, program, programs, workDir, settings } = this.options;
    const file = join(workDir, `${id}.yaml`);
    writeFileSync(file, stringify(settings(this.starts === 0)));
    this.starts += 1;
    this.sent = [];
    this.startedAt = performance.now();
    const log = openSync(this.logFile, 'a');
    this.logLength = fstatSync(log).size;
    const output = this.outputFor(log);
    const { launcher, bundle } = programs;
    const child = spawn(process.execPath, [...ENGINE_FLAGS, launcher, bundle, program, file], {
      stdio: ['ignore', output, log],
    });
    if (typeof output === 'number' && output !== log) closeSync(output);
    closeSync(log);
    if (this.options.start.logOutput === LogOutput.Closed) child.stdout?.destroy();
    child.once('exit', (code, signal) => this.onExit(code, signal));
    this.child = child;
  }

  private get logFile(): string {
    return join(this.options.workDir, `${this.options.id}.log`);
  }

  /** Returns standard output for `spawn`. */
  private outputFor(log: number): number | 'pipe' {
    const { logOutput } = this.options.start;
    if (logOutput === LogOutput.File) return log;
    return logOutput === LogOutput.Full ? openSync(FULL_DEVICE, 'w') : 'pipe';
  }

  private onExit(code: number | null, signal: NodeJS.Signals | null): void {
    if (this.isShutDown) return;
    if (!isExplained(code, signal, this.sent)) this.addOwnEnd(this.describeEnd(code, signal));
    this.restart = pause(this.options.start.restartAfterMs).then(() => {
      if (!this.isShutDown) this.startChild();
    });
  }

  private addOwnEnd(description: string): void {
    const { count = 0, lastLine = this.lastLine() } = this.ownEnds.get(description) ?? {};
    this.ownEnds.set(description, { description, count: count + 1, lastLine });
  }

  private describeEnd(code: number | null, signal: NodeJS.Signals | null): string {
    const causes = [
      ...this.sent.map((each) => `after ${each.signal}`),
      ...(this.isAddressHeld ? ['address in use'] : []),
      `log output ${this.options.start.logOutput}`,
    ];
    const end = signal === null ? `with status ${code}` : `by ${signal}`;
    return `${this.id} ended ${end}, ${causes.join(', ')}`;
  }

  private lastLine(): string {
    const lines = readFileSync(this.logFile).subarray(this.logLength).toString().trim().split('\n');
    return lines.at(-1)?.slice(0, LAST_LINE_CHARACTERS) || 'none';
  }

  /** Sends a signal at its time; to a process that may not be lost only once it is past the first statement of the launcher. */
  private async sendAt({ signal, afterMs }: PlannedSignal, from: number): Promise<void> {
    await pause(from + afterMs - performance.now());
    await this.restart;
    const { child } = this;
    if (child === undefined) return;
    while (!this.options.start.mayBeLost && !hasEnded(child) && !this.hasReadBundle(child)) {
      await pause(POLL_MS);
    }
    if (hasEnded(child)) return;
    this.sent.push({ signal, wasRunning: this.hasReadBundle(child) });
    child.kill(signal);
  }

  private hasReadBundle({ pid }: ChildProcess): boolean {
    try {
      const [, bytes] = /^rchar: (\d+)$/m.exec(readFileSync(`/proc/${pid}/io`, 'utf8')) ?? [];
      return Number(bytes ?? 0) >= this.options.programs.bundleBytes;
    } catch {
      // The process has ended.
      return false;
    }
  }
}

/**
 * Whether the signals that were sent explain an end: a kill; a planned stop with status 0; any signal sent before the first statement of
 * the launcher, which the engine can't handle.
 */
function isExplained(
  code: number | null,
  signal: NodeJS.Signals | null,
  sent: readonly SentSignal[],
): boolean {
  if (signal === null) return code === 0 && sent.some((each) => each.signal === 'SIGTERM');
  return sent.some((each) => each.signal === signal && (signal === 'SIGKILL' || !each.wasRunning));
}

function hasEnded({ exitCode, signalCode }: ChildProcess): boolean {
  return exitCode !== null || signalCode !== null;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, durationMs)));
}
