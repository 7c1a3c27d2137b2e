/**
 * Runs a long-running program: loads its settings, starts it, prints its origins and handles signals. SIGTERM and SIGINT stop
 * it gracefully, SIGHUP reloads its settings.
 */
import type { z } from 'zod';
import { getStandardOutput } from '../common/line-output.js';
import { createLogger, type LogLevel, type Logger } from '../common/logger.js';
import type { Program } from '../programs/program.js';
import { loadSettings } from '../settings/load-settings.js';
import { prepareHashing } from '../common/rendezvous-hash.js';
import { EXIT_CODES } from './exit-codes.js';

/** Options of the commands that run a program. */
export interface ProgramOptions {
  readonly config?: string;
  readonly set?: string | string[];
}

interface CommonSettings {
  readonly id: string;
  readonly logLevel: LogLevel;
}

/** Starts a program. Exits if the start fails: servers that already listen would keep the process alive otherwise. */
async function startOrExit<Settings>(
  start: () => Promise<Program<Settings>>,
  logger: Logger,
): Promise<Program<Settings>> {
  try {
    return await start();
  } catch (error) {
    logger.error('The start failed.', { error: String(error) });
    process.exit(EXIT_CODES.failed);
  }
}

/** Loads the settings, starts the program, prints its origins and installs the signal handlers. */
export async function runProgram<Settings extends CommonSettings>(
  name: string,
  schema: z.ZodType<Settings>,
  options: ProgramOptions,
  start: (settings: Settings, logger: Logger) => Promise<Program<Settings>>,
): Promise<void> {
  const overrides = typeof options.set === 'string' ? [options.set] : (options.set ?? []);
  const load = (): Settings => loadSettings(schema, options.config, overrides);
  const settings = load();
  const logger = createLogger(name, settings.id, settings.logLevel);
  await prepareHashing();
  const program = await startOrExit(() => start(settings, logger), logger);
  stopOnSignal(program, logger);
  reloadOnSignal(program, load, logger);
  // Reports the bound ports to supervisors. Must come after the handlers are installed: a signal sent on this line would
  // kill the process otherwise.
  getStandardOutput().write(`${JSON.stringify({ id: settings.id, origins: program.origins })}\n`);
}

/** Stops the program at the first signal; later signals are ignored. */
function stopOnSignal(program: Pick<Program, 'stop'>, logger: Logger): void {
  let stopping = false;
  const stop = (): void => {
    if (stopping) return;
    stopping = true;
    program.stop().then(
      () => process.exit(EXIT_CODES.ok),
      (error: unknown) => {
        logger.error('The stop failed.', { error: String(error) });
        process.exit(EXIT_CODES.failed);
      },
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

/** Reloads the settings on SIGHUP. If they cannot be read or are invalid, the program keeps its current ones. */
function reloadOnSignal<Settings>(
  program: Program<Settings>,
  load: () => Settings,
  logger: Logger,
): void {
  process.on('SIGHUP', () => {
    try {
      program.reload?.(load());
      logger.info('Re-read the settings.');
    } catch (error) {
      logger.error('Could not reload the settings; keeping the current ones.', {
        error: String(error),
      });
    }
  });
}
