/** Guards against processes that end without a line that says why, or go on after an error that nothing has caught. */
import { expect } from 'chai';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, cpSync, mkdtempSync, openSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import {
  controlDocument,
  PRODUCT_SCRIPT,
  ProductProcess,
  SettingsFile,
  sidecarDocument,
} from '../support/product-process.js';
import { bundlePrograms, type TestBundle } from '../support/test-bundle.js';

const FAILING_PROGRAM = fileURLToPath(new URL('../support/failing-program.js', import.meta.url));
const FAULTY_PRODUCT = fileURLToPath(new URL('../support/faulty-product.js', import.meta.url));
const UNREACHABLE = 'http://127.0.0.1:1';
const END_LINE = 'process: Ended.';
const FAULT_LINE = 'process: An error was not caught.';
const FAULT_CODE = { code: 6, signal: null };

async function startFailing(fault: string): Promise<{ child: ProductProcess; origin: string }> {
  const child = ProductProcess.start([FAILING_PROGRAM, fault]);
  const origins = await child.announcement();
  return { child, origin: origins?.listen ?? '' };
}

function lastLineOf({ records }: ProductProcess): Record<string, unknown> {
  return records.at(-1) ?? {};
}

describe('the last log line of a process', function () {
  this.timeout(30_000);
  let bundle: TestBundle;
  before(async () => {
    bundle = await bundlePrograms();
  });
  afterEach(() => ProductProcess.killRemaining());

  it('names the signal of a planned stop', async () => {
    const { child } = await startFailing('never');
    child.kill('SIGINT');
    expect(await child.ended).to.deep.equal({ code: 0, signal: null });
    expect(lastLineOf(child)).to.include({
      msg: END_LINE,
      level: 30,
      processId: 'failing-1',
      reason: 'stopped',
      phase: 'running',
      signal: 'SIGINT',
      code: 0,
    });
  });

  it('says that a signal came before the program had started', async () => {
    const child = ProductProcess.start([FAILING_PROGRAM, 'waits-at-start']);
    await child.line('waiting');
    child.kill('SIGTERM');
    expect(await child.ended).to.deep.equal({ code: 0, signal: null });
    expect(lastLineOf(child)).to.include({ msg: END_LINE, signal: 'SIGTERM', code: 0 });
    expect(lastLineOf(child).reason).to.equal('stopped-at-start');
  });

  it('names the step and the error of a failed start', async () => {
    const child = ProductProcess.start([FAILING_PROGRAM, 'fails-at-start']);
    expect(await child.ended).to.deep.equal({ code: 1, signal: null });
    expect(lastLineOf(child)).to.include({
      msg: END_LINE,
      level: 50,
      reason: 'failed-start',
      phase: 'starting',
      error: 'Error: no address',
      code: 1,
    });
  });

  const invalidSettings: Record<string, (file: string) => string[]> = {
    'the bundle': (file) => [bundle.launcher, bundle.program, 'sidecar', file],
    'the command line': (file) => [PRODUCT_SCRIPT, 'sidecar', '--config', file],
  };
  for (const [name, command] of Object.entries(invalidSettings)) {
    it(`names what is wrong with the settings, by ${name}`, async () => {
      const file = new SettingsFile({ ...sidecarDocument(UNREACHABLE), zone: 7 });
      const child = ProductProcess.start(command(file.path));
      expect(await child.ended).to.deep.equal({ code: 2, signal: null });
      const line = lastLineOf(child);
      expect(line).to.include({ msg: END_LINE, reason: 'failed-start', phase: 'loading', code: 2 });
      expect((line.faults as { path: string }[]).map(({ path }) => path)).to.deep.equal(['zone']);
    });
  }

  it('names a module of the command line that is missing', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'shoredoor-broken-'));
    cpSync(dirname(dirname(PRODUCT_SCRIPT)), folder, {
      recursive: true,
      filter: (file) => !file.endsWith('command-line.js'),
    });
    writeFileSync(join(folder, 'package.json'), '{"type":"module"}');
    const child = ProductProcess.start([
      join(folder, 'cli', 'main.js'),
      'sidecar',
      '--config',
      'x',
    ]);
    expect(await child.ended).to.deep.equal({ code: 1, signal: null });
    const line = lastLineOf(child);
    expect(line).to.include({ msg: END_LINE, reason: 'failed-start', phase: 'loading' });
    expect(line.error).to.contain('command-line.js');
  });

  it('names the error of a failed stop', async () => {
    const { child } = await startFailing('fails-to-stop');
    child.kill('SIGTERM');
    expect(await child.ended).to.deep.equal({ code: 1, signal: null });
    expect(lastLineOf(child)).to.include({ reason: 'failed-stop', error: 'Error: no stop' });
  });

  it('says that the process has ended for no reason that it knows', async () => {
    const { child, origin } = await startFailing('ends-alone');
    await request(origin).catch(() => undefined);
    expect(await child.ended).to.deep.equal({ code: 0, signal: null });
    expect(lastLineOf(child)).to.include({ msg: END_LINE, reason: 'unexplained' });
  });

  it('goes to standard error if nobody reads standard output', async () => {
    const child = spawn(process.execPath, [FAILING_PROGRAM, 'fills-output']);
    let text = '';
    child.stderr.on('data', (bytes: Buffer) => (text += bytes.toString()));
    const exited = once(child, 'exit');
    await once(child.stderr, 'end');
    expect(await exited).to.deep.equal([1, null]);
    expect(text).to.contain('"msg":"process: Ended."');
  });

  it('neither fails nor waits where nothing can be written', async () => {
    const full = openSync('/dev/full', 'w');
    for (const output of ['pipe', full] as const) {
      const child = spawn(process.execPath, [FAILING_PROGRAM, 'fails-at-start'], {
        stdio: ['ignore', output, output],
      });
      child.stdout?.destroy();
      child.stderr?.destroy();
      expect(await once(child, 'exit')).to.deep.equal([1, null]);
    }
    closeSync(full);
  });
});

describe('a process with an error that nothing has caught', function () {
  this.timeout(30_000);
  afterEach(() => ProductProcess.killRemaining());

  const faults = {
    'throws-once': { reason: 'uncaught-exception', error: 'Error: a fault in a timer' },
    'rejects-once': { reason: 'unhandled-rejection', error: 'Error: a rejection' },
    'throws-unprintable': {
      reason: 'uncaught-exception',
      error: 'an error that cannot be printed',
    },
  };
  for (const [fault, expected] of Object.entries(faults)) {
    it(`says so, answers what is in flight, refuses what comes, and ends: ${fault}`, async () => {
      const { child, origin } = await startFailing(fault);
      const answer = request(origin).then(({ body }) => body.text());
      expect(await child.line(FAULT_LINE)).to.include(expected);
      const late = await request(origin).then(
        ({ statusCode }) => statusCode,
        () => 'refused',
      );
      expect(late).to.be.oneOf([503, 'refused']);
      expect(await answer).to.equal('answered');
      expect(await child.ended).to.deep.equal(FAULT_CODE);
      expect(lastLineOf(child)).to.include({ msg: END_LINE, phase: 'running', ...expected });
      const stops = child.records.filter(({ limits }) => limits !== undefined);
      expect(stops.map(({ limits }) => limits)).to.deep.equal([{ drainMs: 0, timeoutMs: 2_000 }]);
    });
  }

  // A planned stop drains for longer than a test may take.
  const stop = { drainMs: 60_000, timeoutMs: 60_000 };
  const documents = {
    sidecar: { ...sidecarDocument(UNREACHABLE), stop },
    control: { ...controlDocument(UNREACHABLE), stop },
  };
  for (const [program, document] of Object.entries(documents)) {
    it(`stops in order, without the drain of a planned stop: ${program}`, async () => {
      const file = new SettingsFile(document);
      const child = ProductProcess.start([FAULTY_PRODUCT, program, file.path]);
      expect(await child.ended).to.deep.equal(FAULT_CODE);
      const lines = child.records.map(({ msg }) => msg).filter((msg) => msg !== undefined);
      expect(lines.indexOf(`${program}: Stopped.`)).to.be.above(lines.indexOf(FAULT_LINE));
      expect(lines.at(-1)).to.equal(END_LINE);
    });
  }

  it('ends at once at the second one', async () => {
    const { child, origin } = await startFailing('throws-twice');
    const answer = await request(origin).catch(() => 'cut');
    expect(answer).to.equal('cut');
    expect(await child.ended).to.deep.equal(FAULT_CODE);
    const lines = child.records.filter(({ msg }) => msg === FAULT_LINE);
    expect(lines).to.have.length(2);
  });

  it('ends at once during its start', async () => {
    const child = ProductProcess.start([FAILING_PROGRAM, 'throws-at-start']);
    expect(await child.ended).to.deep.equal(FAULT_CODE);
    expect(lastLineOf(child)).to.include({ reason: 'uncaught-exception', phase: 'starting' });
  });

  it('ends with the same code if a stop is under way', async () => {
    const { child } = await startFailing('throws-in-stop');
    child.kill('SIGTERM');
    expect(await child.ended).to.deep.equal(FAULT_CODE);
    expect(lastLineOf(child)).to.include({ reason: 'uncaught-exception', phase: 'stopping' });
  });
});
