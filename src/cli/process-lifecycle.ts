/**
 * The life of a process that runs a program: says what it starts, and handles its signals once the program has started. SIGTERM
 * and SIGINT stop it gracefully, SIGHUP reloads its settings. The entry points create it before they load anything else, so this
 * module imports no library.
 */
import { EXIT_CODES } from './exit-codes.js';
import { describeProcess, type ProcessCommand } from './process-description.js';
import { processLog } from './process-log.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const RELOAD_SIGNAL = 'SIGHUP';

/** A program that has started. */
export interface StartedProgram {
  /** Stops in order. */
  stop(): Promise<void>;
  /** Reads the settings again and applies them. Must not throw. */
  reload(): void;
}

export class ProcessLifecycle {
  private program: StartedProgram | undefined;
  private isStopping = false;

  /** Writes the first log line. To be called once in a process. */
  static begin(command: ProcessCommand): ProcessLifecycle {
    const lifecycle = new ProcessLifecycle();
    processLog.info('Starting.', { ...describeProcess(command) });
    return lifecycle;
  }

  /** Names the process in its log lines from now on. @param id the `id` in the settings */
  onIdentified(id: string): void {
    processLog.processId = id;
  }

  /** Installs the signal handlers. */
  onStarted(program: StartedProgram): void {
    for (const signal of STOP_SIGNALS) process.on(signal, () => this.stop());
    process.on(RELOAD_SIGNAL, () => this.reload());
    this.program = program;
  }

  /** Stops the program at the first signal; later signals are ignored. */
  private stop(): void {
    if (this.isStopping) return;
    this.isStopping = true;
    this.program?.stop().then(
      () => process.exit(EXIT_CODES.ok),
      () => process.exit(EXIT_CODES.failed),
    );
  }

  private reload(): void {
    this.program?.reload();
  }
}
