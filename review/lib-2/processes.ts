/** Starts the project's programs as the deploy file does: its commands, and its templates filled as the platform fills them. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, mkdirSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { dirname, join, resolve } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..', '..');
const SETTINGS_PATH = '/etc/shoredoor/node.yaml';
const SECTION = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const VALUE = /\{\{([\w.]+)(\|json)?\}\}/g;
const POLL_MS = 20;
const ANSWER_WITHIN_MS = 1_000;

/** Fields of a settings file, as DEPLOY.md names them. */
export interface MachineFields {
  readonly node: string;
  readonly zone: string;
  readonly listen: Readonly<Record<string, string>>;
  readonly seeds: readonly string[];
  readonly bounds: Readonly<Record<string, unknown>>;
  readonly [field: string]: unknown;
}

function valueAt(fields: MachineFields, path: string): unknown {
  let value: unknown = fields;
  for (const name of path.split('.')) {
    value = (value as Record<string, unknown> | undefined)?.[name];
  }
  return value;
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value ?? '');
}

function fillSection(body: string, value: unknown): string {
  if (value === undefined || value === null || value === false) return '';
  if (!Array.isArray(value)) return body;
  return value
    .map((item: unknown, index) =>
      body
        .replaceAll('{{,}}', index < value.length - 1 ? ',' : '')
        .replaceAll('{{.}}', textOf(item)),
    )
    .join('');
}

function fillTemplate(template: string, fields: MachineFields): string {
  return template
    .replace(SECTION, (_all, path: string, body: string) =>
      fillSection(body, valueAt(fields, path)),
    )
    .replace(VALUE, (_all, path: string, json: string | undefined) => {
      const value = valueAt(fields, path);
      return json === undefined ? textOf(value) : JSON.stringify(value ?? null);
    });
}

/** Returns command and template of a role of the deploy file. */
function roleOf(role: string): { run: string; template: string } {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1]?.split(/^\[/m)[0] ?? '';
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  const template = /^template = "(.*)"$/m.exec(section)?.[1];
  if (run === undefined || template === undefined) throw new Error(`no role ${role}`);
  return { run, template };
}

/** No process outlives the case, also where that ends early. */
const started = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of started) child.kill('SIGKILL');
});

/** One process of a role. It is started again with the settings of that moment. */
export class RoleProcess {
  readonly role: 'sidecar' | 'control';
  fields: MachineFields;
  private readonly folder: string;
  private child: ChildProcess | undefined;

  /** @param folder holds settings files and logs */
  constructor(role: 'sidecar' | 'control', fields: MachineFields, folder: string) {
    this.role = role;
    this.fields = fields;
    this.folder = folder;
  }

  start(): void {
    const { node } = this.fields;
    const { run } = roleOf(this.role);
    const file = this.writeSettings();
    const words = run.split(' ').map((word) => (word === SETTINGS_PATH ? file : word));
    const [program = '', ...args] = words;
    const log = openSync(join(this.folder, `${node}.log`), 'a');
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(resolve(ROOT, program), args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, SHOREDOOR_NODE_FILE: file },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    started.add(this.child);
  }

  /** Sends SIGKILL and waits for the end. */
  async kill(): Promise<void> {
    const { child } = this;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    const ended = once(child, 'exit');
    child.kill('SIGKILL');
    await ended;
  }

  /** @returns the path of the file */
  private writeSettings(): string {
    const { template } = roleOf(this.role);
    mkdirSync(this.folder, { recursive: true });
    const file = join(this.folder, `${this.fields.node}.yaml`);
    const filled = fillTemplate(readFileSync(join(ROOT, template), 'utf8'), this.fields);
    writeFileSync(file, filled);
    return file;
  }

  /** Address at which the process listens for `name`. */
  address(name: string): string {
    return this.fields.listen[name] ?? '';
  }
}

/** Whether an address answers 200 within a second. */
export function answersOk(address: string, path: string): Promise<boolean> {
  return new Promise((done) => {
    const options = { timeout: ANSWER_WITHIN_MS, agent: false };
    const asked = request(`http://${address}${path}`, options, (answer) => {
      answer.resume();
      done(answer.statusCode === 200);
    });
    asked.once('error', () => done(false));
    asked.once('timeout', () => asked.destroy());
    asked.end();
  });
}

/** Polls until `condition` holds. @throws after `timeoutMs` */
export async function until(
  condition: () => Promise<boolean> | boolean,
  timeoutMs: number,
  what: string,
): Promise<void> {
  const end = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > end) throw new Error(`timed out: ${what}`);
    await delay(POLL_MS);
  }
}
