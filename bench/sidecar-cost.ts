/**
 * Benchmarks the cost of sidecars: of a start, of an idle second and of a call, at several fleet sizes, compared with
 * two bare proxies. Usage: npm run bench:sidecars [-- --sizes 2,8,24]
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
/** Wait after a start, in milliseconds; JIT compilation raises the idle CPU time before that. */
const SETTLE_MS = 25_000;
const IDLE_MS = 10_000;
const MS_PER_SECOND = 1_000;

/** The results for one fleet size. */
interface FleetCosts {
  readonly size: number;
  readonly startMs: number;
  readonly startCpuMs: number;
  /** CPU milliseconds per second of one idle sidecar. */
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
    // The gate starts with a low limit that grows with completed calls, so the first calls are sequential.
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

/** Measures CPU milliseconds per call of the proxies behind `origin`. */
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

/** Parses a list such as `2,8,24`. @throws when an item is not an integer of at least 2 */
function parseSizes(text: string): number[] {
  const sizes = text.split(',').map(Number);
  if (sizes.some((size) => !Number.isInteger(size) || size < 2)) {
    throw new Error(
      `--sizes must be whole numbers of at least 2, separated by commas, but is ${text}`,
    );
  }
  return sizes;
}

const cli = cac('bench:sidecars');
cli
  .command('', 'Measure what sidecars cost')
  .option('--sizes <list>', 'Numbers of sidecars', { default: '2,8,24' })
  .action((options: { sizes: string | number }) => run(parseSizes(String(options.sizes))));
await runCommand(cli);
