/**
 * Benchmarks the call path: direct calls, two bare proxies in series, and shoredoor's edge and node. Each round
 * measures all three; the report shows medians over the rounds. Usage: npm run bench [-- --rounds N]
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { cac } from 'cac';
import { request } from 'undici';
import { parseResource } from '../src/policy/resource-schema.js';
import { median } from '../lab/experiment/summary.js';
import { ControlReplicas } from '../lab/fleet/control-replicas.js';
import { ANY_PORT, ProgramProcess } from '../lab/fleet/program-process.js';
import { totalCpuMs, startBareProxies, startBenchTarget } from './comparison.js';
import { failOnErrors, LoadGenerator, quantile } from './load.js';
import { runCommand } from './run-command.js';
import { residentMegabytes } from './process-usage.js';

const CALLS_PER_SECOND = 350;
const CALLS_PER_ROUND = 2_800;
const SATURATING_CALLS = 15_000;
const SATURATING_CONCURRENCY = 32;
const WARMUP_CALLS = 3_000;
const MEMORY_CALLS = 200_000;
const MEMORY_STEPS = 4;
const READY_POLL_MS = 100;

interface MeasuredProcess {
  readonly pid: number;
}

/** A path from the caller to the target. */
interface CallPath {
  readonly name: string;
  readonly load: LoadGenerator;
  /** Processes between caller and target, starting at the caller. */
  readonly hops: readonly MeasuredProcess[];
}

/** The results of one path in one round; latencies in milliseconds. */
interface RoundResult {
  readonly p50: number;
  readonly p99: number;
  readonly cpuMsPerCall: number;
  readonly callsPerSecond: number;
}

const POLICY = parseResource({
  kind: 'Policy',
  name: 'bench',
  spec: {
    groups: [{ name: 'bench', share: 1 }],
    defaultGroup: 'bench',
    kinds: [
      {
        name: 'item',
        service: 'bench',
        match: [{ method: 'GET', path: '/bench/{id}' }],
        importance: 'normal',
        repeatable: true,
      },
    ],
    retry: { allowance: 2, ratio: 0.1 },
  },
});

/** The processes of the path through shoredoor. */
interface ProductPath {
  readonly control: ControlReplicas;
  readonly edge: ProgramProcess;
  readonly node: ProgramProcess;
}

async function startProduct(workDir: string, target: string): Promise<ProductPath> {
  const control = await ControlReplicas.start(workDir, ['zone-a']);
  await control.client().put(POLICY, { changeId: 'bench' });
  const node = new ProgramProcess('node-1', 'node', workDir, {
    service: 'bench',
    inbound: ANY_PORT,
    outbound: ANY_PORT,
    target: { origin: target },
    control: control.origins,
  });
  await node.start();
  const edge = new ProgramProcess('edge-1', 'edge', workDir, {
    listen: ANY_PORT,
    control: control.origins,
  });
  await edge.start();
  await waitUntilServed(edge.origin('listen'));
  return { control, edge, node };
}

async function waitUntilServed(origin: string): Promise<void> {
  for (;;) {
    const response = await request(`${origin}/bench/item`);
    await response.body.dump();
    if (response.statusCode === 200) return;
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
}

async function measure(callPath: CallPath): Promise<RoundResult> {
  const steady = await callPath.load.runAtRate(CALLS_PER_SECOND, CALLS_PER_ROUND);
  const pids = callPath.hops.map(({ pid }) => pid);
  const before = totalCpuMs(pids);
  const full = await callPath.load.runConcurrently(SATURATING_CONCURRENCY, SATURATING_CALLS);
  const after = totalCpuMs(pids);
  failOnErrors(callPath.name, steady, full);
  return {
    p50: quantile(steady.latenciesMs, 0.5),
    p99: quantile(steady.latenciesMs, 0.99),
    cpuMsPerCall: (after - before) / SATURATING_CALLS,
    callsPerSecond: (full.latenciesMs.length * 1_000) / full.durationMs,
  };
}

function medianOf(rounds: readonly RoundResult[], pick: (round: RoundResult) => number): number {
  return median(rounds.map(pick));
}

function report(results: ReadonlyMap<string, readonly RoundResult[]>): void {
  const direct = results.get('direct')!;
  const rows = [...results].map(([name, rounds]) => {
    const added = (pick: (round: RoundResult) => number): number =>
      median(rounds.map((round, index) => pick(round) - pick(direct[index]!)));
    return {
      name,
      p50: medianOf(rounds, (round) => round.p50),
      p99: medianOf(rounds, (round) => round.p99),
      addedP50: added((round) => round.p50),
      addedP99: added((round) => round.p99),
      cpuMsPerCall: medianOf(rounds, (round) => round.cpuMsPerCall),
      callsPerSecond: medianOf(rounds, (round) => round.callsPerSecond),
    };
  });
  for (const row of rows) {
    print(
      `${row.name.padEnd(14)} p50 ${row.p50.toFixed(2)} ms (+${row.addedP50.toFixed(2)}), ` +
        `p99 ${row.p99.toFixed(2)} ms (+${row.addedP99.toFixed(2)}), ` +
        `${row.cpuMsPerCall.toFixed(3)} ms processor a call, ` +
        `${row.callsPerSecond.toFixed(0)} calls/s`,
    );
  }
  const [bare, shoredoor] = [rows[1]!, rows[2]!];
  const ratio = (value: number, base: number): string => (value / base).toFixed(2);
  print(
    `shoredoor to two bare proxies: added p50 ${ratio(shoredoor.addedP50, bare.addedP50)}, ` +
      `added p99 ${ratio(shoredoor.addedP99, bare.addedP99)}, ` +
      `processor time ${ratio(shoredoor.cpuMsPerCall, bare.cpuMsPerCall)}, ` +
      `calls/s ${ratio(shoredoor.callsPerSecond, bare.callsPerSecond)}`,
  );
}

async function measureMemory({ load }: CallPath, { edge, node }: ProductPath): Promise<void> {
  for (let step = 0; step <= MEMORY_STEPS; step += 1) {
    if (step > 0) await load.runConcurrently(SATURATING_CONCURRENCY, MEMORY_CALLS / MEMORY_STEPS);
    const sizes = [edge, node].map(
      ({ id, pid }) => `${id} ${residentMegabytes(pid).toFixed(0)} MB`,
    );
    print(`after ${(step * MEMORY_CALLS) / MEMORY_STEPS} calls: ${sizes.join(', ')}`);
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function run(rounds: number): Promise<void> {
  const workDir = mkdtempSync(join(tmpdir(), 'shoredoor-bench-'));
  const running: { kill(): Promise<void> }[] = [];
  try {
    const target = await startBenchTarget(workDir);
    running.push(target);
    const targetOrigin = target.origin('listen');
    const { outer, inner } = await startBareProxies(workDir, targetOrigin);
    running.push(outer, inner);
    const product = await startProduct(workDir, targetOrigin);
    const { edge, node } = product;
    running.push(edge, node, product.control);
    const productCallPath: CallPath = {
      name: 'shoredoor',
      load: new LoadGenerator(edge.origin('listen')),
      hops: [edge, node],
    };
    const paths: CallPath[] = [
      { name: 'direct', load: new LoadGenerator(targetOrigin), hops: [] },
      {
        name: 'bare proxies',
        load: new LoadGenerator(outer.origin('listen')),
        hops: [outer, inner],
      },
      productCallPath,
    ];
    for (const path of paths) await path.load.runConcurrently(SATURATING_CONCURRENCY, WARMUP_CALLS);
    const results = new Map<string, RoundResult[]>(paths.map((path) => [path.name, []]));
    for (let round = 0; round < rounds; round += 1) {
      for (const path of paths) results.get(path.name)!.push(await measure(path));
      print(`round ${round + 1} of ${rounds} done`);
    }
    report(results);
    await measureMemory(productCallPath, product);
    await Promise.all(paths.map((path) => path.load.close()));
  } finally {
    await Promise.all(running.map((each) => each.kill()));
  }
}

const cli = cac('bench');
cli
  .command('', 'Measure the call path')
  .option('--rounds <number>', 'Rounds', { default: 5 })
  .action((options: { rounds: number }) => run(Number(options.rounds)));
await runCommand(cli);
