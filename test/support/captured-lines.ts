/** Captures the JSON log lines that a test's logger writes to standard output. */
import { createLogger, type Logger } from '../../src/common/logger.js';

/** The fields of a log line. */
export type CapturedLine = Readonly<Record<string, unknown>>;

const LINE_START = '{"name":"shoredoor"';
const FIELDS_OF_ALL_LINES: readonly string[] = [
  'name',
  'hostname',
  'pid',
  'processId',
  'time',
  'v',
];

const captures = new Set<CapturedLines>();
let restoreOutput: (() => void) | undefined;

export class CapturedLines {
  readonly logger: Logger;
  /** Captured lines with all fields. */
  readonly records: CapturedLine[] = [];

  /**
   * Starts capturing; {@link end} stops it.
   * @param program prefix of the logger
   * @param processId distinguishes the lines of concurrent captures
   */
  constructor(
    program: string,
    readonly processId: string,
  ) {
    this.logger = createLogger(program, processId, 'info');
    captures.add(this);
    restoreOutput ??= interceptStdout();
  }

  get lines(): CapturedLine[] {
    return this.records.map((record) => {
      const own = Object.entries(record).filter(([name]) => !FIELDS_OF_ALL_LINES.includes(name));
      return Object.fromEntries(own);
    });
  }

  /** Level, message and sorted field names of each distinct line, sorted. */
  get shapes(): string[] {
    const shapes = this.lines.map(({ msg, level, ...fields }) => {
      return `${String(level)} ${String(msg)} {${Object.keys(fields).sort().join(', ')}}`;
    });
    return [...new Set(shapes)].sort();
  }

  /** The lines with this message. */
  of(message: string): CapturedLine[] {
    return this.lines.filter(({ msg }) => msg === message);
  }

  end(): void {
    captures.delete(this);
    if (captures.size > 0) return;
    restoreOutput?.();
    restoreOutput = undefined;
  }
}

/** Passes log lines to their captures and all other output through. @returns a function that restores stdout */
function interceptStdout(): () => void {
  const write = process.stdout.write.bind(process.stdout);
  const divert = (chunk: string | Uint8Array, ...rest: never[]): boolean =>
    isCaptured(String(chunk)) || write(chunk, ...rest);
  process.stdout.write = divert;
  return () => {
    process.stdout.write = write;
  };
}

function isCaptured(text: string): boolean {
  if (!text.startsWith(LINE_START)) return false;
  const record = JSON.parse(text) as CapturedLine;
  const capture = [...captures].find(({ processId }) => processId === record.processId);
  capture?.records.push(record);
  return capture !== undefined;
}
