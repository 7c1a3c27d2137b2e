/** A copy of what the platform's build needs, with linked packages, in which the build runs and leaves its files. */
import { spawn, spawnSync, type ChildProcess } from 'node:child_process';
import {
  chmodSync,
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { readToml } from './read-toml.js';

const SOURCES = ['src', 'platform', 'scripts', 'deploy', 'package-lock.json', 'package.json'];
const ENGINE_PACKAGE = /^node-(linux|darwin|win)-/;
const NPM_CALLS = 'npm-calls.txt';
/** Start and end of `e_machine` in an ELF header. */
const ELF_MACHINE = [18, 20] as const;
/** An architecture of the ELF format for which there is no Node.js. */
const EM_M32 = 1;

/** Name of the packaged Node.js for this machine. */
export const ENGINE_PACKAGE_HERE = `node-${process.platform}-${process.arch}`;

/** How the build ended. */
export interface BuildResult {
  readonly status: number | null;
  readonly err: string;
  /** Commands that the build gave to npm. */
  readonly npmCalls: readonly string[];
}

export class BuildCheckout {
  readonly root = mkdtempSync(join(tmpdir(), 'shoredoor-build-'));

  /** Copies the sources and links the packages, without a packaged Node.js. */
  constructor() {
    for (const name of SOURCES) cpSync(name, this.path(name), { recursive: true });
    mkdirSync(this.path('node_modules'));
    for (const name of readdirSync('node_modules')) {
      if (ENGINE_PACKAGE.test(name) || name.startsWith('.')) continue;
      symlinkSync(resolve('node_modules', name), this.path('node_modules', name));
    }
    this.recordPackages({});
    mkdirSync(this.path('bin'));
    symlinkSync(process.execPath, this.path('bin', 'node'));
    this.writeProgram('bin/npm', `#!/bin/sh\necho "$*" >> ${this.path(NPM_CALLS)}\n`);
  }

  path(...names: string[]): string {
    return join(this.root, ...names);
  }

  /** Writes npm's record of the installed packages. */
  recordPackages(packages: Readonly<Record<string, { os?: string[]; cpu?: string[] }>>): void {
    writeFileSync(this.path('node_modules/.package-lock.json'), JSON.stringify({ packages }));
  }

  /** Installs the Node.js that runs the tests as the packaged one. */
  addPackagedEngine(): void {
    mkdirSync(this.path('node_modules', ENGINE_PACKAGE_HERE, 'bin'), { recursive: true });
    symlinkSync(process.execPath, this.path('node_modules', ENGINE_PACKAGE_HERE, 'bin/node'));
  }

  /** Writes a program of another architecture, which makes a file `ran` if a shell takes it for a script. */
  writeForeignProgram(name: string): void {
    const header = Buffer.from(readFileSync(process.execPath).subarray(0, ELF_MACHINE[1]));
    header.writeUInt16LE(EM_M32, ELF_MACHINE[0]);
    this.writeProgram(name, Buffer.concat([header, Buffer.from(`\ntouch ${this.path('ran')}\n`)]));
  }

  /** Runs the platform's build command. */
  build(): BuildResult {
    const command = readToml(readFileSync('deploy/system.toml', 'utf8'))['']!.build as string;
    const { status, stderr } = spawnSync('/bin/sh', ['-c', command], {
      cwd: this.root,
      env: { PATH: `${this.path('bin')}:/usr/bin:/bin`, HOME: this.root },
      encoding: 'utf8',
    });
    return { status, err: stderr, npmCalls: this.npmCalls() };
  }

  /** Starts a role as the platform does, with its own settings file. */
  start(role: 'sidecar' | 'control', settingsFile: string): ChildProcess {
    const run = readToml(readFileSync('deploy/system.toml', 'utf8'))[`roles.${role}`]!
      .run as string;
    const [program, ...args] = run.split(' ').with(-1, settingsFile);
    return spawn(program!, args, { cwd: this.root, stdio: ['ignore', 'pipe', 'pipe'] });
  }

  remove(): void {
    rmSync(this.root, { recursive: true, force: true });
  }

  private npmCalls(): string[] {
    try {
      return readFileSync(this.path(NPM_CALLS), 'utf8').trim().split('\n');
    } catch {
      // npm was not called.
      return [];
    }
  }

  private writeProgram(name: string, content: string | Buffer): void {
    mkdirSync(dirname(this.path(name)), { recursive: true });
    writeFileSync(this.path(name), content);
    chmodSync(this.path(name), 0o755);
  }
}
