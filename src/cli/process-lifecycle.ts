/**
 * The life of a process that runs a program, from its first statement to its last log line, which says why the process ends.
 * Handles the signals that supervisors and terminals send, also while the program is still being loaded and started, and
 * errors that nothing has caught. The entry points create it before they load anything else, so this module imports no library.
 *
 * | signals                    | while starting               | while running           |
 * | -------------------------- | ---------------------------- | ----------------------- |
 * | SIGTERM, SIGINT, SIGQUIT   | exits at once, with 0        | stops the program       |
 * | SIGHUP                     | reloads once, when started   | reloads the settings    |
 * | SIGUSR1, SIGUSR2, SIGALRM  | ignored                      | ignored                 |
 */
import type { StopSettings } from '../call/stop-phase.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { describeProcess, type ProcessCommand } from './process-description.js';
import {
  describeEnd,
  exitCodeOf,
  isFault,
  type ProcessEnd,
  type ProcessPhase,
} from './process-end.js';
import { processLog, type SharedOutput } from './process-log.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const;
const RELOAD_SIGNAL = 'SIGHUP';
/** Signals without a meaning here. By default SIGUSR1 opens the engine's debugger, and the others end the process. */
const IGNORED_SIGNALS = ['SIGUSR1', 'SIGUSR2', 'SIGALRM'] as const;

/** How long calls in flight may take after an error that nothing has caught. No new calls are accepted. */
const FAULT_STOP: StopSettings = { drainMs: 0, timeoutMs: 2_000 };
/** Time after which the process ends even though the program has not stopped, in milliseconds. */
const FAULT_STOP_TIMEOUT_MS = 6_000;

/** A program that has started. */
export interface StartedProgram {
  /** Stops in order. @param limits override those of the settings */
  stop(limits?: StopSettings): Promise<void>;
  /** Reads the settings again and applies them. Must not throw. */
  reload(): void;
}

export class ProcessLifecycle {
  private program: StartedProgram | undefined;
  private phase: ProcessPhase = 'loading';
  private end: ProcessEnd | undefined;
  private isReloadDue = false;

  /** Installs the handlers and writes the first log line. To be called once in a process. */
  static begin(command: ProcessCommand): ProcessLifecycle {
    const lifecycle = new ProcessLifecycle();
    // Output that can't be written is no reason to end.
    for (const stream of [process.stdout, process.stderr]) stream.on('error', () => undefined);
    for (const signal of STOP_SIGNALS) process.on(signal, () => lifecycle.onStopSignal(signal));
    process.on(RELOAD_SIGNAL, () => lifecycle.reload());
    for (const signal of IGNORED_SIGNALS) process.on(signal, () => undefined);
    // Rejections that nothing handles arrive here, too.
    process.on('uncaughtException', (error, origin) => lifecycle.onFault(error, origin));
    process.on('exit', (code) => lifecycle.logEnd(code));
    processLog.info('Starting.', { ...describeProcess(command) });
    return lifecycle;
  }

  /**
   * The settings have been read.
   * @param id names the process in its log lines from now on
   * @param output that of the program's logger
   */
  onSettings(id: string, output: SharedOutput): void {
    processLog.processId = id;
    processLog.output = output;
    this.phase = 'starting';
  }

  /** Passes signals to the program from now on, and the reload that was requested during the start. */
  onStarted(program: StartedProgram): void {
    this.program = program;
    this.phase = 'running';
    if (this.isReloadDue) program.reload();
  }

  /** Records why the start has failed. @returns the exit code for it; the caller ends the process */
  onFailedStart(error: unknown): ExitCode {
    this.end = { reason: 'failed-start', phase: this.phase, error };
    return exitCodeOf(this.end);
  }

  /** Stops the program at the first signal; later signals are ignored. */
  private onStopSignal(signal: NodeJS.Signals): void {
    const { program, phase, end } = this;
    if (end !== undefined) return;
    // Nothing has been accepted yet, and a start may take long to finish.
    if (program === undefined) this.exit({ reason: 'stopped-at-start', phase, signal });
    this.stop(program, { reason: 'stopped', phase, signal });
  }

  private reload(): void {
    if (this.program === undefined) this.isReloadDue = true;
    else this.program.reload();
  }

  /**
   * Ends the process after an error that nothing has caught, as its state can't be relied on. Calls in flight are answered as in a
   * planned stop, and one that is under way goes on, both within a limit. A second such error ends the process at once.
   */
  private onFault(error: unknown, origin: NodeJS.UncaughtExceptionOrigin): void {
    const { program, phase, end } = this;
    const reason = origin === 'unhandledRejection' ? 'unhandled-rejection' : 'uncaught-exception';
    const fault: ProcessEnd = { reason, phase, error };
    processLog.error('An error was not caught.', describeEnd(fault));
    if (program === undefined || (end !== undefined && isFault(end))) this.exit(fault);
    setTimeout(() => this.exit(fault), FAULT_STOP_TIMEOUT_MS);
    if (end === undefined) this.stop(program, fault, FAULT_STOP);
    else this.end = fault;
  }

  private stop(program: StartedProgram, end: ProcessEnd, limits?: StopSettings): void {
    this.end = end;
    this.phase = 'stopping';
    program.stop(limits).then(
      () => this.exit(end),
      (error: unknown) => this.exit({ reason: 'failed-stop', phase: 'stopping', error }),
    );
  }

  /** Ends the process. An error that nothing has caught remains the reason, whatever ends the stop that it causes. */
  private exit(end: ProcessEnd): never {
    if (this.end === undefined || !isFault(this.end)) this.end = end;
    process.exit(exitCodeOf(this.end));
  }

  private logEnd(code: number): void {
    const end = this.end ?? { reason: 'unexplained', phase: this.phase };
    const fields = { ...describeEnd(end), code, uptimeMs: Math.round(process.uptime() * 1_000) };
    if (code === EXIT_CODES.ok) processLog.info('Ended.', fields);
    else processLog.error('Ended.', fields);
  }
}
