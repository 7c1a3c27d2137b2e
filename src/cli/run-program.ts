/** Starts a long-running program from its command and stops it in order on SIGTERM or SIGINT. */
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
async function startOrEnd<Settings>(
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
  const settings = loadSettings(schema, options.config, overrides);
  const logger = createLogger(name, settings.id, settings.logLevel);
  await prepareHashing();
  const program = await startOrEnd(() => start(settings, logger), logger);
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
  process.on('SIGHUP', () => {
    try {
      program.reload?.(loadSettings(schema, options.config, overrides));
      logger.info('Settings were read again.');
    } catch (error) {
      logger.error('Settings were not adopted.', { error: String(error) });
    }
  });
  // One line among the log lines on standard output tells supervisors which ports were bound. It comes after the
  // handlers: a supervisor that stops the program on this line would kill it otherwise.
  process.stdout.write(`${JSON.stringify({ id: settings.id, origins: program.origins })}\n`);
}
