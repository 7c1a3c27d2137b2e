/**
 * The life of a process that runs a program, from its first statement on: handles the signals that supervisors and terminals
 * send, also while the program is still being loaded and started. The entry points create it before they load anything else,
 * so this module imports no library.
 *
 * | signals                    | while starting               | while running           |
 * | -------------------------- | ---------------------------- | ----------------------- |
 * | SIGTERM, SIGINT, SIGQUIT   | exits at once, with 0        | stops the program       |
 * | SIGHUP                     | reloads once, when started   | reloads the settings    |
 * | SIGUSR1, SIGUSR2, SIGALRM  | ignored                      | ignored                 |
 */
import { EXIT_CODES } from './exit-codes.js';
import { describeProcess, type ProcessCommand } from './process-description.js';
import { processLog } from './process-log.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const;
const RELOAD_SIGNAL = 'SIGHUP';
/** Signals without a meaning here. By default SIGUSR1 opens the engine's debugger, and the others end the process. */
const IGNORED_SIGNALS = ['SIGUSR1', 'SIGUSR2', 'SIGALRM'] as const;

/** A program that has started. */
export interface StartedProgram {
  /** Stops in order. */
  stop(): Promise<void>;
  /** Reads the settings again and applies them. Must not throw. */
  reload(): void;
}

export class ProcessLifecycle {
  private program: StartedProgram | undefined;
  private isReloadDue = false;
  private isStopping = false;

  /** Installs the handlers and writes the first log line. To be called once in a process. */
  static begin(command: ProcessCommand): ProcessLifecycle {
    const lifecycle = new ProcessLifecycle();
    for (const signal of STOP_SIGNALS) process.on(signal, () => lifecycle.stop());
    process.on(RELOAD_SIGNAL, () => lifecycle.reload());
    for (const signal of IGNORED_SIGNALS) process.on(signal, () => undefined);
    processLog.info('Starting.', { ...describeProcess(command) });
    return lifecycle;
  }

  /** Names the process in its log lines from now on. @param id the `id` in the settings */
  onIdentified(id: string): void {
    processLog.processId = id;
  }

  /** Passes signals to the program from now on, and the reload that was requested during the start. */
  onStarted(program: StartedProgram): void {
    this.program = program;
    if (this.isReloadDue) program.reload();
  }

  /** Stops the program at the first signal; later signals are ignored. */
  private stop(): void {
    if (this.isStopping) return;
    this.isStopping = true;
    // Nothing has been accepted yet, and a start may take long to finish.
    if (this.program === undefined) process.exit(EXIT_CODES.ok);
    this.program.stop().then(
      () => process.exit(EXIT_CODES.ok),
      () => process.exit(EXIT_CODES.failed),
    );
  }

  private reload(): void {
    if (this.program === undefined) this.isReloadDue = true;
    else this.program.reload();
  }
}
