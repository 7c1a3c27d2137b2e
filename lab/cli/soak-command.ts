/** The command `shoredoor-lab soak`: generates a fault plan from each seed, runs it and prints its results. */
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { CAC } from 'cac';
import { UsageError } from '../../src/common/errors.js';
import { drawPlan, type SoakPlan } from '../soak/soak-plan.js';
import { drawCrashPlan } from '../soak/crash-plan.js';
import { drawLimitPlan, drawManyLimitsPlan } from '../soak/limit-plan.js';
import type { SoakResult } from '../soak/run-soak.js';
import { drawStartPlan } from '../soak/start-plan.js';
import { drawStopPlan } from '../soak/stop-plan.js';
import { drawUploadPlan } from '../soak/upload-plan.js';
import { wholeNumber } from './options.js';

interface SoakOptions {
  readonly seed: unknown;
  readonly seeds: unknown;
  readonly seconds: unknown;
  readonly dir?: string;
  readonly profile: string;
}

/** Draws the plan of a seed and runs it in a folder. */
type SoakProfile = (seed: number, durationMs: number, folder: string) => Promise<PlayedPlan>;

interface PlayedPlan {
  readonly plan: SoakPlan;
  readonly result: SoakResult;
}

/** Profiles by the value of `--profile`. */
const PROFILES: Readonly<Record<string, SoakProfile>> = {
  mixed: trafficProfile(drawPlan),
  stops: trafficProfile(drawStopPlan),
  crashes: trafficProfile(drawCrashPlan),
  limits: trafficProfile(drawLimitPlan),
  'many-limits': trafficProfile(drawManyLimitsPlan),
  uploads: trafficProfile(drawUploadPlan),
  starts: async (seed, durationMs, folder) => {
    const { runStarts } = await import('../soak/run-starts.js');
    const plan = drawStartPlan(seed, durationMs);
    return { plan, result: await runStarts(plan, folder) };
  },
};

/** A profile whose faults begin once all processes run. */
function trafficProfile(draw: (seed: number, durationMs: number) => SoakPlan): SoakProfile {
  return async (seed, durationMs, folder) => {
    const { runSoak } = await import('../soak/run-soak.js');
    const plan = draw(seed, durationMs);
    return { plan, result: await runSoak(plan, folder) };
  };
}

function profileOf(name: string): SoakProfile {
  const profile = Object.hasOwn(PROFILES, name) ? PROFILES[name] : undefined;
  if (profile === undefined) {
    throw new UsageError(`--profile must be one of ${Object.keys(PROFILES).join(', ')}`);
  }
  return profile;
}

/** Shorter runs have no time for faults before the fault-free phase at their end. */
const MIN_SECONDS = 10;
const MS_PER_SECOND = 1_000;
const SERVED_DECIMALS = 3;

export function registerSoakCommand(cli: CAC): void {
  cli
    .command(
      'soak',
      'Run real processes on loopback under faults drawn from a seed, and check promises',
    )
    .option('--seed <number>', 'First seed', { default: 1 })
    .option('--seeds <number>', 'Number of runs, one after the other', { default: 1 })
    .option('--seconds <number>', `Seconds of traffic, at least ${MIN_SECONDS}`, { default: 25 })
    .option('--profile <name>', `What goes wrong: ${Object.keys(PROFILES).join(' or ')}`, {
      default: 'mixed',
    })
    .option(
      '--dir <folder>',
      'Where logs and plans of failed runs are kept; default: a temporary one',
    )
    .example('shoredoor-lab soak --seed 100 --seeds 50')
    .action((options: SoakOptions) => soak(options));
}

async function soak(options: SoakOptions): Promise<void> {
  const first = wholeNumber('--seed', options.seed, 0);
  const count = wholeNumber('--seeds', options.seeds, 1);
  const durationMs = wholeNumber('--seconds', options.seconds, MIN_SECONDS) * MS_PER_SECOND;
  const play = profileOf(options.profile);
  const folder = options.dir ?? join(tmpdir(), 'shoredoor-soak');
  let failed = 0;
  for (let seed = first; seed < first + count; seed += 1) {
    const { plan, result } = await play(seed, durationMs, join(folder, `seed-${seed}`));
    const { violations, checkCounts: chances, successRatio: servedPart, workDir } = result;
    const counts = [...chances].map(([check, chance]) => `${check} ${chance}`).join(', ');
    const faults = plan.faults.map(({ kind }) => kind).join(' ');
    const served = servedPart.toFixed(SERVED_DECIMALS);
    print(
      `seed ${seed}: ${violations.length} violations; ${served} served; chances: ${counts}; ${faults}`,
    );
    for (const { check, detail } of violations) print(`  ${check}: ${detail}`);
    if (violations.length === 0) continue;
    failed += 1;
    print(`  logs and plan: ${workDir}`);
  }
  print(`${count - failed} clean, ${failed} with violations`);
  if (failed > 0) process.exitCode = 1;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
