/** Shared by the benchmarks: the target, two bare proxies as the baseline, and the CPU time of several processes. */
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { FleetChild } from '../lab/fleet/child-process.js';
import { cpuMs } from './process-usage.js';
import { BENCH_HOST } from './sidecar-fleet.js';

const SCRIPTS = {
  target: fileURLToPath(new URL('./bench-target.js', import.meta.url)),
  proxy: fileURLToPath(new URL('./bare-proxy.js', import.meta.url)),
};

/** Headers that match the only declared route. */
export const REQUEST_HEADERS = { host: BENCH_HOST, 'x-request-id': 'bench' };

/** Total CPU time of processes since their start, in milliseconds. */
export function totalCpuMs(pids: readonly number[]): number {
  return pids.reduce((sum, pid) => sum + cpuMs(pid), 0);
}

/** Starts the target; its log is written to `workDir`. */
export function startBenchTarget(workDir: string): Promise<FleetChild> {
  return FleetChild.start('target', SCRIPTS.target, [], join(workDir, 'target.log'));
}

/** Two bare proxies in series in front of a target. */
export interface BareProxies {
  readonly outer: FleetChild;
  readonly inner: FleetChild;
}

/** Starts the proxies; their logs are written to `workDir`. */
export async function startBareProxies(workDir: string, target: string): Promise<BareProxies> {
  const start = (name: string, origin: string): Promise<FleetChild> =>
    FleetChild.start(name, SCRIPTS.proxy, [origin], join(workDir, `${name}.log`));
  const inner = await start('bare-inner', target);
  const outer = await start('bare-outer', inner.origin('listen'));
  return { outer, inner };
}

/** Runs `measure` with two bare proxies in series in front of `target`, and kills them afterwards. */
export async function withBareProxies<Result>(
  workDir: string,
  target: string,
  measure: (origin: string, pids: readonly number[]) => Promise<Result>,
): Promise<Result> {
  const { outer, inner } = await startBareProxies(workDir, target);
  try {
    return await measure(outer.origin('listen'), [inner.pid, outer.pid]);
  } finally {
    await Promise.all([inner.kill(), outer.kill()]);
  }
}
