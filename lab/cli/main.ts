#!/usr/bin/env node
/** Entry point of the `shoredoor-lab` command line, which is used in development and CI only. */
import { prepareHashing } from '../../src/common/rendezvous-hash.js';
import { cac } from 'cac';
import { UsageError, ValidationError } from '../../src/common/errors.js';
import { registerCheckCommand } from './check-command.js';
import { registerExperimentCommand } from './experiment-command.js';
import { registerRetryBoundCommand } from './retry-bound-command.js';
import { registerSoakCommand } from './soak-command.js';

/** Options of the command `backend`. */
interface BackendOptions {
  readonly deployment: string;
  readonly service: string;
  readonly seed: number;
  readonly record?: string;
}

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

async function runBackend(options: BackendOptions): Promise<void> {
  const { loadDeployment } = await import('../model/load-deployment.js');
  const { startBackend } = await import('../process/backend-process.js');
  const { deployment } = loadDeployment(options.deployment);
  const service = deployment.services.find((candidate) => candidate.name === options.service);
  if (service === undefined) throw new Error(`the deployment has no service '${options.service}'`);
  const backend = await startBackend(service, Number(options.seed), options.record);
  process.stdout.write(
    `${JSON.stringify({ id: service.name, origins: { listen: backend.origin } })}\n`,
  );
  process.on('SIGTERM', () => {
    backend.close();
    process.exit(0);
  });
}

function reportError(error: unknown): number {
  if (error instanceof ValidationError) {
    process.stderr.write(`shoredoor-lab: ${error.message}\n`);
    for (const fault of error.faults) process.stderr.write(`  ${fault.path}: ${fault.message}\n`);
    return EXIT_USAGE;
  }
  process.stderr.write(
    `shoredoor-lab: ${error instanceof Error ? error.message : String(error)}\n`,
  );
  const isUsage = error instanceof UsageError || (error as Error).name === 'CACError';
  return isUsage ? EXIT_USAGE : EXIT_FAILED;
}

async function main(): Promise<void> {
  const cli = cac('shoredoor-lab');
  cli
    .command('backend', 'Run one stand-in back end (used by the fleet)')
    .option('--deployment <file>', 'Deployment file')
    .option('--service <name>', 'Service of the deployment')
    .option('--seed <number>', 'Seed of the service times', { default: 1 })
    .option('--record <file>', 'Write a line for each execution')
    .action(runBackend);
  cli.command('demo', 'Run Ratenwerk through a surge with a slow ledger').action(async () => {
    const { runDemo } = await import('../fleet/demo.js');
    process.exitCode = await runDemo();
  });
  registerCheckCommand(cli);
  registerExperimentCommand(cli);
  registerRetryBoundCommand(cli);
  registerSoakCommand(cli);
  cli.help();
  await prepareHashing();
  try {
    cli.parse(process.argv, { run: false });
    if (cli.matchedCommand === undefined && cli.options.help !== true) {
      throw new UsageError(`unknown command '${cli.args[0] ?? ''}'; see --help`);
    }
    await cli.runMatchedCommand();
  } catch (error) {
    process.exitCode = reportError(error);
  }
}

await main();
