/** The command `shoredoor-lab check`: checks promises under random fault schedules. */
import type { CAC } from 'cac';
import { UsageError } from '../../src/common/errors.js';
import { mechanismsFrom, wholeNumber } from './options.js';

interface CheckCommandOptions {
  readonly seeds: unknown;
  readonly firstSeed: unknown;
  readonly promise?: string;
  readonly switch?: string | string[];
}

export function registerCheckCommand(cli: CAC): void {
  cli
    .command('check', 'Try random fault schedules against the promises, in virtual time')
    .option('--seeds <number>', 'How many seeds', { default: 20 })
    .option('--first-seed <number>', 'The first seed', { default: 1 })
    .option('--promise <id>', 'Only this promise')
    .option('--switch <mechanism=value>', 'Lab only: run with a mechanism off, as claims=local')
    .example('npm run check -- --seeds 100 --promise at-most-once')
    .action(check);
}

async function check(options: CheckCommandOptions): Promise<void> {
  const { CHECKED_PROMISES, runCheck } = await import('../check/run-check.js');
  const { promise } = options;
  if (promise !== undefined && !CHECKED_PROMISES.includes(promise)) {
    throw new UsageError(`--promise must be one of: ${CHECKED_PROMISES.join(', ')}`);
  }
  const result = runCheck({
    seeds: wholeNumber('--seeds', options.seeds, 1),
    firstSeed: wholeNumber('--first-seed', options.firstSeed, 0),
    promise,
    mechanisms: mechanismsFrom(options.switch),
    print: (line) => process.stdout.write(`${line}\n`),
  });
  if (result.failed > 0) process.exitCode = 1;
}
