/**
 * Runs a long-running program: loads its settings, starts it, prints its origins and hands it to the life of the process,
 * which stops it and reloads its settings on signals.
 */
import { setImmediate } from 'node:timers/promises';
import type { z } from 'zod';
import type { StopSettings } from '../call/stop-phase.js';
import { getStandardOutput } from '../common/line-output.js';
import { createLogger, type LogLevel, type Logger } from '../common/logger.js';
import { eventLoopMonitor } from '../observe/event-loop-monitor.js';
import type { Program } from '../programs/program.js';
import { loadSettings } from '../settings/load-settings.js';
import { prepareHashing } from '../common/rendezvous-hash.js';
import { ProcessLifecycle } from './process-lifecycle.js';

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
  lifecycle: ProcessLifecycle,
  logger: Logger,
): Promise<Program<Settings>> {
  try {
    return await start();
  } catch (error) {
    logger.error('The start failed.', { error: String(error) });
    process.exit(lifecycle.onFailedStart(error));
  }
}

/** Loads the settings, starts the program and prints its origins. */
export async function runProgram<Settings extends CommonSettings>(
  name: string,
  schema: z.ZodType<Settings>,
  options: ProgramOptions,
  start: (settings: Settings, logger: Logger) => Promise<Program<Settings>>,
  lifecycle = ProcessLifecycle.begin({ program: name, settingsFile: options.config }),
): Promise<void> {
  const overrides = typeof options.set === 'string' ? [options.set] : (options.set ?? []);
  const load = (): Settings => loadSettings(schema, options.config, overrides);
  const settings = load();
  const logger = createLogger(name, settings.id, settings.logLevel);
  lifecycle.onSettings(settings.id, getStandardOutput());
  eventLoopMonitor.start(logger);
  await prepareHashing();
  // Lets the event loop turn: a signal that has come while modules were loaded is handled before servers listen.
  await setImmediate();
  const program = await startOrExit(() => start(settings, logger), lifecycle, logger);
  lifecycle.onStarted({
    stop: (limits) => stopProgram(program, limits, logger),
    reload: () => reloadProgram(program, load, logger),
  });
  // Reports the bound ports to supervisors. Must come after the signals are passed to the program: a stop requested on this
  // line would not be graceful otherwise.
  getStandardOutput().write(`${JSON.stringify({ id: settings.id, origins: program.origins })}\n`);
}

async function stopProgram(
  program: Pick<Program, 'stop'>,
  limits: StopSettings | undefined,
  logger: Logger,
): Promise<void> {
  try {
    await program.stop(limits);
  } catch (error) {
    logger.error('The stop failed.', { error: String(error) });
    throw error;
  }
}

/** Reloads the settings. If they cannot be read or are invalid, the program keeps its current ones. */
function reloadProgram<Settings>(
  program: Program<Settings>,
  load: () => Settings,
  logger: Logger,
): void {
  try {
    program.reload?.(load());
    logger.info('Re-read the settings.');
  } catch (error) {
    logger.error('Could not reload the settings; keeping the current ones.', {
      error: String(error),
    });
  }
}
