/**
 * Guards against processes that end by a signal during their start, and against settings that were changed during it and are
 * not in force afterwards. By hand with more draws: `SIGNAL_DRAWS=200`, and with others: `SIGNAL_SEED=2`.
 */
import { expect } from 'chai';
import { ProcessLifecycle } from '../../src/cli/process-lifecycle.js';
import { SeededRandom } from '../../src/common/random.js';
import { delay } from '../../src/programs/program.js';
import { watchProcessListeners } from '../support/process-listeners.js';
import {
  controlDocument,
  PRODUCT_SCRIPT,
  ProductProcess,
  SettingsFile,
  sidecarDocument,
} from '../support/product-process.js';
import { SeedReplicas } from '../support/seed-replicas.js';
import { bundlePrograms, type TestBundle } from '../support/test-bundle.js';

const DRAWS = Number(process.env.SIGNAL_DRAWS ?? 24);
const SEED = Number(process.env.SIGNAL_SEED ?? 1);
const UNREACHABLE = 'http://127.0.0.1:1';
const START_LINE = 'process: Starting.';
/** Longest delay between two signals of a series within the start, in milliseconds. */
const MAX_SHORT_GAP_MS = 150;
/** Longest delay between two signals of a series that goes on after the start, in milliseconds. */
const MAX_LONG_GAP_MS = 1_000;
const MAX_SIGNALS = 5;
const KEPT_ALIVE = ['SIGHUP', 'SIGHUP', 'SIGHUP', 'SIGUSR1', 'SIGUSR2', 'SIGALRM'] as const;
const STOPPED = ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const;
/** Time for a sidecar to ask a control replica that it has just been given, in milliseconds. */
const ADOPTION_TIMEOUT_MS = 10_000;
const IN_ORDER = { code: 0, signal: null };

interface Series {
  /** Whether the first delay counts from the first log line, or else from the exec. */
  readonly isAfterStartLine: boolean;
  readonly signals: readonly { readonly signal: NodeJS.Signals; readonly delayMs: number }[];
  readonly isStopped: boolean;
}

function drawSeries(index: number): Series {
  const random = new SeededRandom(SEED * 1_000_003 + index);
  const maxGapMs = random.nextInt(4) === 0 ? MAX_LONG_GAP_MS : MAX_SHORT_GAP_MS;
  const drawFrom = (names: readonly NodeJS.Signals[]) => ({
    signal: names[random.nextInt(names.length)]!,
    delayMs: random.nextInt(maxGapMs),
  });
  const signals = Array.from({ length: random.nextInt(MAX_SIGNALS + 1) }, () =>
    drawFrom(KEPT_ALIVE),
  );
  const isStopped = signals.length === 0 || random.nextInt(2) === 0;
  if (isStopped) signals.push(drawFrom(STOPPED));
  return { isAfterStartLine: random.nextInt(4) > 0, signals, isStopped };
}

/** Sends the signals of a series. @param onReload called before each SIGHUP */
async function play(series: Series, child: ProductProcess, onReload: () => void): Promise<void> {
  if (series.isAfterStartLine) await child.line(START_LINE);
  for (const { signal, delayMs } of series.signals) {
    await delay(delayMs);
    if (signal === 'SIGHUP') onReload();
    child.kill(signal);
  }
}

async function isTrueWithin(check: () => boolean, timeoutMs: number): Promise<boolean> {
  const endAt = performance.now() + timeoutMs;
  while (!check() && performance.now() < endAt) await delay(10);
  return check();
}

/** Whether a signal has come before the first statement of the process, which cannot handle it. */
function endedBeforeFirstStatement(child: ProductProcess, signal: NodeJS.Signals | null): boolean {
  return signal !== null && child.find(START_LINE) === undefined;
}

describe('signals at drawn moments of a start', function () {
  this.timeout(Math.max(60_000, DRAWS * 5_000));
  let bundle: TestBundle;
  before(async () => {
    bundle = await bundlePrograms();
  });
  afterEach(() => ProductProcess.killRemaining());

  it('do not end a sidecar but by its stop, and leave the newest settings in force', async () => {
    let earlyEnds = 0;
    for (let index = 0; index < DRAWS; index += 1) {
      const series = drawSeries(index);
      const trace = `draw ${index}: ${JSON.stringify(series)}`;
      const replicas = await SeedReplicas.start(MAX_SIGNALS + 1);
      const file = new SettingsFile(sidecarDocument(replicas.origin(0)));
      let newest = 0;
      const child = ProductProcess.start([bundle.launcher, bundle.program, 'sidecar', file.path]);
      await play(series, child, () => {
        newest += 1;
        file.write(sidecarDocument(replicas.origin(newest)));
      });
      if (!series.isStopped && (await child.announcement()) !== undefined) {
        const isAdopted = await isTrueWithin(() => replicas.wasAsked(newest), ADOPTION_TIMEOUT_MS);
        child.kill('SIGTERM');
        expect(isAdopted, `settings in force, ${trace}`).to.equal(true);
      }
      const end = await child.ended;
      replicas.close();
      if (!series.isAfterStartLine && endedBeforeFirstStatement(child, end.signal)) earlyEnds += 1;
      else expect(end, trace).to.deep.equal(IN_ORDER);
    }
    process.stdout.write(`${earlyEnds} of ${DRAWS} ended before their first statement\n`);
  });

  const commands: Record<string, (file: string) => string[]> = {
    'a control replica': (file) => [bundle.launcher, bundle.program, 'control', file],
    'a program of the command line': (file) => [PRODUCT_SCRIPT, 'control', '--config', file],
  };
  for (const [name, command] of Object.entries(commands)) {
    it(`do not end ${name} but by its stop`, async () => {
      for (let index = 0; index < DRAWS / 2; index += 1) {
        const series = { ...drawSeries(DRAWS + index), isAfterStartLine: true };
        const file = new SettingsFile(controlDocument(UNREACHABLE));
        const child = ProductProcess.start(command(file.path));
        await play(series, child, () => undefined);
        if (!series.isStopped) {
          await child.announcement();
          child.kill('SIGTERM');
        }
        const end = await child.ended;
        expect(end, `draw ${index}: ${JSON.stringify(series)}`).to.deep.equal(IN_ORDER);
      }
    });
  }

  it('open no debugger', async () => {
    const file = new SettingsFile(sidecarDocument(UNREACHABLE));
    const child = ProductProcess.start([bundle.launcher, bundle.program, 'sidecar', file.path]);
    await child.line(START_LINE);
    child.kill('SIGUSR1');
    await child.announcement();
    child.kill('SIGUSR1');
    child.kill('SIGTERM');
    expect(await child.ended).to.deep.equal(IN_ORDER);
    expect(child.standardError).to.equal('');
  });
});

describe('the life of a process', () => {
  it('passes one reload to the program, however many were requested during the start', () => {
    const removeListeners = watchProcessListeners();
    try {
      const lifecycle = ProcessLifecycle.begin({ program: 'test', settingsFile: undefined });
      for (let count = 0; count < 3; count += 1) process.emit('SIGHUP', 'SIGHUP');
      let reloads = 0;
      lifecycle.onStarted({ stop: () => Promise.resolve(), reload: () => (reloads += 1) });
      expect(reloads).to.equal(1);
      process.emit('SIGHUP', 'SIGHUP');
      expect(reloads).to.equal(2);
    } finally {
      removeListeners();
    }
  });
});
