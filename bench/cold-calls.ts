/**
 * Benchmarks the first calls after a start, before the JIT compiler has optimized the code: CPU time per call of two
 * sidecars, the one of the caller and the one of the target, at a steady rate, compared with two bare proxies.
 * Usage: npm run bench:cold [-- --rounds 3]
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { cac } from 'cac';
import { median } from '../lab/experiment/summary.js';
import { totalCpuMs, REQUEST_HEADERS, startBenchTarget, withBareProxies } from './comparison.js';
import { LoadGenerator } from './load.js';
import { runCommand } from './run-command.js';
import { SidecarFleet } from './sidecar-fleet.js';

const CALLS_PER_SECOND = 80;
/** Ends of the reported intervals, in calls since the start. */
const INTERVAL_ENDS = [100, 400, 1_000, 2_000] as const;

/** CPU milliseconds per call in each interval. */
type IntervalCosts = readonly number[];

async function measureCalls(origin: string, pids: readonly number[]): Promise<IntervalCosts> {
  const source = new LoadGenerator(origin, REQUEST_HEADERS);
  const costs: number[] = [];
  let done = 0;
  for (const end of INTERVAL_ENDS) {
    const calls = end - done;
    const from = totalCpuMs(pids);
    const { failed } = await source.runAtRate(CALLS_PER_SECOND, calls);
    if (failed > calls / 2) throw new Error(`${failed} of ${calls} requests failed`);
    costs.push((totalCpuMs(pids) - from) / calls);
    done = end;
  }
  await source.close();
  return costs;
}

async function measureSidecars(workDir: string, target: string): Promise<IntervalCosts> {
  const fleet = new SidecarFleet(mkdtempSync(join(workDir, 'fleet-')), new URL(target).host);
  try {
    await fleet.start(2);
    const ingress = fleet.sidecars.find(({ service }) => service === 'caller')!.process;
    const pids = fleet.sidecars.map(({ process }) => process.pid);
    return await measureCalls(ingress.origin('outbound'), pids);
  } finally {
    await fleet.kill();
  }
}

function report(name: string, rounds: readonly IntervalCosts[]): void {
  const costs = INTERVAL_ENDS.map((end, index) => {
    const cost = median(rounds.map((round) => round[index]!));
    return `to ${end}: ${cost.toFixed(2)}`;
  });
  const unit = `ms processor a call at ${CALLS_PER_SECOND}/s`;
  process.stdout.write(`${name}, ${process.version}: ${unit}, ${costs.join(', ')}\n`);
}

async function run(rounds: number): Promise<void> {
  const workDir = mkdtempSync(join(tmpdir(), 'shoredoor-bench-'));
  const target = await startBenchTarget(workDir);
  try {
    const origin = target.origin('listen');
    const proxies: IntervalCosts[] = [];
    const sidecars: IntervalCosts[] = [];
    for (let round = 0; round < rounds; round += 1) {
      proxies.push(await withBareProxies(workDir, origin, measureCalls));
      sidecars.push(await measureSidecars(workDir, origin));
    }
    report('two bare proxies', proxies);
    report('two sidecars', sidecars);
  } finally {
    await target.kill();
  }
}

/** Parses a number of rounds. @throws when it is not a positive integer */
function parseRounds(value: string | number): number {
  const rounds = Number(value);
  if (Number.isInteger(rounds) && rounds > 0) return rounds;
  throw new Error(`--rounds must be a whole number above 0, but is ${value}`);
}

const LAST_INTERVAL_END = INTERVAL_ENDS.at(-1)!;
const SECONDS_PER_ROUND = (2 * LAST_INTERVAL_END) / CALLS_PER_SECOND;

const cli = cac('bench:cold');
cli
  .command('', `Measure the first calls of sidecars; a round takes about ${SECONDS_PER_ROUND} s`)
  .option('--rounds <count>', 'Starts to measure; the median is told', { default: 1 })
  .action((options: { rounds: string | number }) => run(parseRounds(options.rounds)));
await runCommand(cli);
