/**
 * What sidecars cost, three figures apart: a start, an idle second, a call; each at several sizes of the
 * fleet, beside two bare proxies in the same run. Usage: npm run bench:sidecars [-- --sizes 2,8,24]
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { cac } from 'cac';
import { median } from '../lab/experiment/summary.js';
import { totalCpuMs, REQUEST_HEADERS, startBenchTarget, withBareProxies } from './comparison.js';
import { failOnErrors, LoadGenerator, quantile } from './load.js';
import { cpuMs, residentMegabytes } from './process-usage.js';
import { runCommand } from './run-command.js';
import { SidecarFleet } from './sidecar-fleet.js';

const FIRST_CALLS = 100;
const WARMUP_CALLS = 3_000;
const MEASURED_CALLS = 10_000;
const CONCURRENCY = 16;
/**
 * After a start the engine compiles what runs often: idle processes took 8 to 23 ms a second in the first
 * 5 s and 3 to 5 from 25 s on, two or sixteen of them alike.
 */
const SETTLE_MS = 25_000;
const IDLE_MS = 10_000;
const MS_PER_SECOND = 1_000;

/** The figures of one fleet. */
interface FleetCosts {
  readonly size: number;
  readonly startMs: number;
  readonly startCpuMs: number;
  /** Processor milliseconds a second of one idle sidecar. */
  readonly idleMsPerSecond: number;
  readonly cpuMsPerCall: number;
  readonly p50Ms: number;
  readonly megabytes: number;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

async function measureFleet(workDir: string, target: string, size: number): Promise<FleetCosts> {
  const fleet = new SidecarFleet(workDir, new URL(target).host);
  try {
    await fleet.start(size);
    const pids = fleet.sidecars.map(({ process }) => process.pid);
    const startCpuMs = median(pids.map(cpuMs));
    await sleep(SETTLE_MS);
    const idleFrom = totalCpuMs(pids);
    await sleep(IDLE_MS);
    const idleMsPerSecond = ((totalCpuMs(pids) - idleFrom) * MS_PER_SECOND) / IDLE_MS / size;
    const ingress = fleet.sidecars.find(({ service }) => service === 'caller')!.process;
    const source = new LoadGenerator(ingress.origin('outbound'), REQUEST_HEADERS);
    // A gate that has just started lets in no more than it has seen answered: the first calls come one by one.
    await source.runConcurrently(1, FIRST_CALLS);
    failOnErrors('warm-up', await source.runConcurrently(CONCURRENCY, WARMUP_CALLS));
    const callsFrom = totalCpuMs(pids);
    const load = await source.runConcurrently(CONCURRENCY, MEASURED_CALLS);
    failOnErrors('sidecars', load);
    const idleMs = (idleMsPerSecond * size * load.durationMs) / MS_PER_SECOND;
    const cpuMsPerCall = (totalCpuMs(pids) - callsFrom - idleMs) / MEASURED_CALLS;
    await source.close();
    return {
      size,
      startMs: median(fleet.sidecars.map(({ startMs }) => startMs)),
      startCpuMs,
      idleMsPerSecond,
      cpuMsPerCall,
      p50Ms: quantile(load.latenciesMs, 0.5),
      megabytes: median(pids.map(residentMegabytes)),
    };
  } finally {
    await fleet.kill();
  }
}

/** Processor milliseconds a call of the processes behind `origin`. */
async function measureProxies(origin: string, pids: readonly number[]): Promise<number> {
  const source = new LoadGenerator(origin, REQUEST_HEADERS);
  failOnErrors('warm-up', await source.runConcurrently(CONCURRENCY, WARMUP_CALLS));
  const from = totalCpuMs(pids);
  failOnErrors('bare proxies', await source.runConcurrently(CONCURRENCY, MEASURED_CALLS));
  const perCall = (totalCpuMs(pids) - from) / MEASURED_CALLS;
  await source.close();
  return perCall;
}

function report(figures: FleetCosts, bareMsPerCall: number): void {
  const ratio = (figures.cpuMsPerCall / bareMsPerCall).toFixed(2);
  process.stdout.write(
    `${figures.size} sidecars: start ${figures.startMs.toFixed(0)} ms ` +
      `(${figures.startCpuMs.toFixed(0)} ms processor), ` +
      `idle ${figures.idleMsPerSecond.toFixed(1)} ms processor a second, ` +
      `call ${figures.cpuMsPerCall.toFixed(3)} ms processor (${ratio} of two bare proxies), ` +
      `p50 ${figures.p50Ms.toFixed(2)} ms, ${figures.megabytes.toFixed(0)} MB\n`,
  );
}

async function run(sizes: readonly number[]): Promise<void> {
  const workDir = mkdtempSync(join(tmpdir(), 'shoredoor-bench-'));
  const target = await startBenchTarget(workDir);
  try {
    const origin = target.origin('listen');
    const bareMsPerCall = await withBareProxies(workDir, origin, measureProxies);
    process.stdout.write(`two bare proxies: ${bareMsPerCall.toFixed(3)} ms processor a call\n`);
    for (const size of sizes) {
      const fleetDir = mkdtempSync(join(workDir, `fleet-${size}-`));
      report(await measureFleet(fleetDir, origin, size), bareMsPerCall);
    }
  } finally {
    await target.kill();
  }
}

/** The sizes in `2,8,24`. Throws where one is no whole number of at least 2. */
function parseSizes(text: string): number[] {
  const sizes = text.split(',').map(Number);
  if (sizes.some((size) => !Number.isInteger(size) || size < 2)) {
    throw new Error(`--sizes takes whole numbers of at least 2, with commas between: ${text}`);
  }
  return sizes;
}

const cli = cac('bench:sidecars');
cli
  .command('', 'Measure what sidecars cost')
  .option('--sizes <list>', 'Numbers of sidecars', { default: '2,8,24' })
  .action((options: { sizes: string | number }) => run(parseSizes(String(options.sizes))));
await runCommand(cli);
