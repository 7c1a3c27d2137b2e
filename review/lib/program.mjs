/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- types of plain JavaScript stand in JSDoc */
/**
 * One process of the product on loopback, started with the command of its role in deploy/system.toml and with a settings
 * file made from the template of that role, as the platform does. A process that ends by itself is started again.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync, existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { fillTemplate } from './settings-template.mjs';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const SETTINGS_PATH = '/etc/shoredoor/node.yaml';
/** Delay until a process that has ended is started again, in milliseconds. */
const RESTART_DELAY_MS = 300;

/** Whether the build that deployments run is there. */
export function isBuilt() {
  return existsSync(join(ROOT, 'target/main.cjs')) && existsSync(join(ROOT, 'target/launch.cjs'));
}

/**
 * Returns the command of a role.
 * @param {string} role
 * @param {string} settingsFile
 * @returns {string[]}
 */
function commandOf(role, settingsFile) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  const run = /^run = "(.*)"$/m.exec(section)?.[1] ?? '';
  return run.replace(SETTINGS_PATH, settingsFile).split(' ');
}

export class Program {
  /** @type {import('node:child_process').ChildProcess | undefined} */
  child = undefined;
  /** Ends that no signal of the test caused. */
  ownEnds = 0;
  isWanted = false;
  /** Whether the test has sent a signal that ends the process. */
  isEndCaused = false;
  /** When the process was last started, in milliseconds of the record. */
  startedAt = 0;
  /** Largest resident memory that was seen, in MB. */
  peakMb = 0;

  /**
   * @param {string} role
   * @param {Readonly<Record<string, unknown>>} fields values for the template
   * @param {string} folder for the settings file and the log
   * @param {import('./record.mjs').Record} record
   */
  constructor(role, fields, folder, record) {
    this.role = role;
    this.name = String(fields.node);
    this.fields = fields;
    this.folder = folder;
    this.record = record;
    this.log = join(folder, `${this.name}.log`);
  }

  get pid() {
    return this.child?.pid;
  }

  /** Writes the settings file and starts the process. */
  start() {
    const file = join(this.folder, `${this.name}.yaml`);
    const template = readFileSync(join(ROOT, `deploy/${this.role}.template.yaml`), 'utf8');
    writeFileSync(file, fillTemplate(template, this.fields));
    const [program = '', ...args] = commandOf(this.role, file);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(join(ROOT, program), args, { cwd: ROOT, env: { PATH, HOME, LANG } });
    this.child = child;
    this.isWanted = true;
    this.startedAt = this.record.now;
    const keep = (/** @type {Buffer} */ bytes) => appendFileSync(this.log, bytes);
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => this.onExit(child, code, signal));
    this.record.add(`START ${this.name} pid ${child.pid}`);
  }

  /**
   * Sends a signal.
   * @param {NodeJS.Signals} signal
   */
  signal(signal) {
    this.record.add(`SIGNAL ${this.name} ${signal}`);
    if (signal === 'SIGKILL' || signal === 'SIGTERM') this.isEndCaused = true;
    this.child?.kill(signal);
  }

  /** Kills the process and waits for its end; it is not started again. */
  async kill() {
    this.isWanted = false;
    const { child } = this;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  }

  /** Reads the resident memory of the process, in MB; 0 if it is not running. */
  memoryMb() {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const mb = Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) / 1024;
      this.peakMb = Math.max(this.peakMb, mb);
      return mb;
    } catch {
      return 0;
    }
  }

  /**
   * @param {import('node:child_process').ChildProcess} child
   * @param {number | null} code
   * @param {NodeJS.Signals | null} signal
   */
  onExit(child, code, signal) {
    if (child !== this.child || !this.isWanted) return;
    if (!this.isEndCaused) this.ownEnds += 1;
    const cause = this.isEndCaused ? 'ENDED' : 'ENDED BY ITSELF';
    this.record.add(`${cause} ${this.name} code ${code} signal ${signal}`);
    this.isEndCaused = false;
    setTimeout(() => {
      if (this.isWanted) this.start();
    }, RESTART_DELAY_MS);
  }
}
