/**
 * Runs a long-running program from its command: reads settings, starts it, says where it listens, and then waits for
 * signals. SIGTERM and SIGINT stop it in order, SIGHUP has it read its settings again. Owns the process's signal handlers
 * and exit code; relies on the program for how it starts and stops.
 */
import type { z } from 'zod';
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

/** Starts a program. If that fails the process ends: servers that listen already would keep it alive, and useless. */
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

/** Loads settings, starts the program, announces its origins, and waits for a signal. */
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
  // One line among the log lines on standard output tells supervisors which ports were bound. It comes after the
  // handlers: a supervisor that stops the program on this line would kill it otherwise.
  process.stdout.write(`${JSON.stringify({ id: settings.id, origins: program.origins })}\n`);
}

/** A second signal changes nothing: the stop goes on in its own time. */
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

/** Settings that cannot be read or are not valid change nothing: the program goes on with those that it has. */
function reloadOnSignal<Settings>(
  program: Program<Settings>,
  load: () => Settings,
  logger: Logger,
): void {
  process.on('SIGHUP', () => {
    try {
      program.reload?.(load());
      logger.info('Settings were read again.');
    } catch (error) {
      logger.error('Settings were not adopted.', { error: String(error) });
    }
  });
}
