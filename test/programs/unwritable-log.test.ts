/** Guards against programs that end, or stand still, because their log cannot be written. */
import { expect } from 'chai';
import {
  execFileSync,
  fork,
  spawn,
  type ChildProcess,
  type StdioOptions,
} from 'node:child_process';
import { once } from 'node:events';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  readSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { stringify } from 'yaml';
import { freePorts } from '../../lab/fleet/free-ports.js';
import { until } from '../support/processes.js';

const PRODUCT_SCRIPT = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const LOG_WRITER = fileURLToPath(new URL('../support/log-writer.js', import.meta.url));
const LINK_TOKEN = 'link-token-of-the-unwritable-log';
const ANY_ADDRESS = '127.0.0.1:0';
const PROGRAMS = ['control', 'sidecar', 'node', 'edge'] as const;
/** Longer than it took programs to end after a failed write. */
const OBSERVED_MS = 1_000;
/** 400 lines of 0.5 KB more than a pipe and the limit on kept lines hold. */
const LINES = 1_100;
const PIPE_BYTES = 64 * 1024;
const KEPT_BYTES = 256 * 1024;
/** Far above what the kept lines take, far below all lines of a log that nobody reads. */
const MAX_GROWTH_BYTES = 32 * 1024 * 1024;

interface WriterState {
  readonly sequence: number;
  readonly rssBytes: number;
}

interface LogLine {
  readonly msg: string;
  readonly sequence?: number;
  readonly lines?: number;
}

describe('a log that cannot be written', function () {
  this.timeout(60_000);

  let folder: string;
  let children: ChildProcess[];
  let descriptors: number[];

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'shoredoor-log-'));
    children = [];
    descriptors = [];
  });

  afterEach(async () => {
    for (const child of children) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const ended = once(child, 'exit');
      child.kill('SIGKILL');
      await ended;
    }
    for (const descriptor of descriptors) closeSync(descriptor);
    rmSync(folder, { recursive: true, force: true });
  });

  function open(path: string, flags: number): number {
    const descriptor = openSync(path, flags);
    descriptors.push(descriptor);
    return descriptor;
  }

  /** Makes a named pipe. Its reader must be opened first. */
  function makePipe(): { readonly reader: number; readonly path: string; openWriter(): number } {
    const path = join(folder, 'pipe');
    execFileSync('mkfifo', [path]);
    const reader = openSync(path, constants.O_RDONLY | constants.O_NONBLOCK);
    return { reader, path, openWriter: () => open(path, constants.O_WRONLY) };
  }

  function settingsOf(program: string, admin: string): object {
    const common = { id: 'one', zone: 'zone-a', admin, linkToken: LINK_TOKEN };
    const control = ['http://127.0.0.1:1'];
    const seeds = ['http://127.0.0.1:1'];
    if (program === 'control') {
      const dataDir = join(folder, 'data');
      return { ...common, listen: ANY_ADDRESS, advertise: seeds[0], seeds, dataDir };
    }
    if (program === 'edge') return { ...common, control, listen: ANY_ADDRESS };
    const addresses = { inbound: ANY_ADDRESS, outbound: ANY_ADDRESS };
    const node = { ...common, control, service: 'ledger', ...addresses };
    return program === 'node'
      ? { ...node, target: { origin: 'http://127.0.0.1:1' } }
      : { ...node, registration: ANY_ADDRESS };
  }

  async function startProgram(
    program: string,
    stdio: StdioOptions,
  ): Promise<{ readonly child: ChildProcess; readonly admin: string }> {
    const [port] = await freePorts(1);
    const admin = `127.0.0.1:${port}`;
    const file = join(folder, 'settings.yaml');
    writeFileSync(file, stringify(settingsOf(program, admin)));
    const args = [PRODUCT_SCRIPT, program, '--config', file];
    const child = spawn(process.execPath, args, { stdio });
    children.push(child);
    return { child, admin };
  }

  async function isHealthy(admin: string): Promise<boolean> {
    try {
      const response = await request(`http://${admin}/healthz`);
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      // It does not listen yet, or has ended.
      return false;
    }
  }

  /** Expects that the program starts, runs on, and stops in order. */
  async function expectToRun({
    child,
    admin,
  }: Awaited<ReturnType<typeof startProgram>>): Promise<void> {
    await until(async () => child.exitCode !== null || (await isHealthy(admin)));
    expect(child.exitCode, 'exit code').to.equal(null);
    await delay(OBSERVED_MS);
    child.kill('SIGHUP');
    await delay(OBSERVED_MS);
    expect(child.exitCode, 'exit code').to.equal(null);
    expect(await isHealthy(admin)).to.equal(true);
    const ended = once(child, 'exit');
    child.kill('SIGTERM');
    expect(await ended).to.deep.equal([0, null]);
  }

  for (const program of PROGRAMS) {
    it(`does not end a program whose reader closed the pipe before the first line: ${program}`, async () => {
      const pipe = makePipe();
      const writer = pipe.openWriter();
      closeSync(pipe.reader);
      await expectToRun(await startProgram(program, ['ignore', writer, writer]));
    });

    it(`does not end a program that logs to a full device: ${program}`, async () => {
      const full = open('/dev/full', constants.O_WRONLY);
      await expectToRun(await startProgram(program, ['ignore', full, full]));
    });
  }

  it('does not end a program whose reader closed the socket before the first line', async () => {
    const started = await startProgram('sidecar', ['ignore', 'pipe', 'pipe']);
    started.child.stdout!.destroy();
    started.child.stderr!.destroy();
    await expectToRun(started);
  });

  function startWriter(atOnce: number, intervalMs: number, output: number | 'pipe'): ChildProcess {
    const child = fork(LOG_WRITER, [String(atOnce), String(intervalMs)], {
      stdio: ['ignore', output, 'inherit', 'ipc'],
    });
    children.push(child);
    return child;
  }

  async function stateOf(writer: ChildProcess): Promise<WriterState> {
    const answer = once(writer, 'message') as Promise<[WriterState]>;
    writer.send('state');
    return (await answer)[0];
  }

  it('is written again from where it stopped, with a count of the lost lines', async () => {
    const pipe = makePipe();
    const writer = startWriter(LINES, 1_000_000, pipe.openWriter());
    const { sequence } = await stateOf(writer);
    expect(sequence, 'the process runs on').to.equal(LINES);

    const reader = new LineReader(pipe.reader);
    await until(() => reader.read().some(({ msg }) => msg === 'log: Lost log lines.'));
    closeSync(pipe.reader);
    const written = reader.lines.flatMap((line) => line.sequence ?? []);
    expect(written).to.deep.equal(written.map((_, index) => index + 1));
    const losses = reader.lines.filter(({ msg }) => msg === 'log: Lost log lines.');
    expect(losses.map(({ lines }) => lines)).to.deep.equal([LINES - written.length]);
    expect(reader.bytes).to.be.within(KEPT_BYTES, KEPT_BYTES + PIPE_BYTES + 4_096);
  });

  it('is written again when a reader comes back', async () => {
    const pipe = makePipe();
    const writer = startWriter(0, 1, pipe.openWriter());
    await stateOf(writer);
    closeSync(pipe.reader);
    const { sequence } = await stateOf(writer);
    await until(async () => (await stateOf(writer)).sequence > sequence + LINES);
    const descriptor = openSync(pipe.path, constants.O_RDONLY | constants.O_NONBLOCK);
    const reader = new LineReader(descriptor);
    await until(() => reader.read().some(({ msg }) => msg === 'log: Lost log lines.'));
    const lost = reader.lines.find(({ msg }) => msg === 'log: Lost log lines.')!.lines!;
    await until(() => reader.read().at(-1)!.sequence !== undefined);
    closeSync(descriptor);
    const last = reader.lines.at(-1)!.sequence!;
    const written = reader.lines.flatMap((line) => line.sequence ?? []);
    expect(written[0]! - 1 + written.length + lost).to.equal(last);
  });

  it('takes a bounded amount of memory while nobody reads it', async () => {
    const pipe = makePipe();
    const writer = startWriter(LINES, 1_000_000, pipe.openWriter());
    const before = await stateOf(writer);
    const many = startWriter(100 * LINES, 1_000_000, pipe.openWriter());
    const after = await stateOf(many);
    closeSync(pipe.reader);
    expect(after.sequence).to.equal(100 * LINES);
    expect(after.rssBytes - before.rssBytes).to.be.below(MAX_GROWTH_BYTES);
  });
});

/** Reads log lines from a pipe without blocking. */
class LineReader {
  readonly lines: LogLine[] = [];
  bytes = 0;
  private rest = '';
  private readonly buffer = Buffer.alloc(PIPE_BYTES);

  constructor(private readonly descriptor: number) {}

  /** Reads what is there. @returns all lines so far */
  read(): readonly LogLine[] {
    const count = this.readOnce();
    this.bytes += count;
    const lines = (this.rest + this.buffer.toString('utf8', 0, count)).split('\n');
    this.rest = lines.pop()!;
    this.lines.push(...lines.map((line) => JSON.parse(line) as LogLine));
    return this.lines;
  }

  private readOnce(): number {
    try {
      return readSync(this.descriptor, this.buffer);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'EAGAIN') return 0;
      throw error;
    }
  }
}
