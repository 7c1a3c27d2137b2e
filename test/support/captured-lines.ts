/** Captures the JSON log lines that a test's logger writes. */
import { LineOutput } from '../../src/common/line-output.js';
import { createLogger, type Logger } from '../../src/common/logger.js';

/** The fields of a log line. */
export type CapturedLine = Readonly<Record<string, unknown>>;

const FIELDS_OF_ALL_LINES: readonly string[] = [
  'name',
  'hostname',
  'pid',
  'processId',
  'time',
  'v',
];

export class CapturedLines {
  readonly logger: Logger;
  /** Captured lines with all fields. */
  readonly records: CapturedLine[] = [];
  private isEnded = false;

  /**
   * Starts capturing; {@link end} stops it.
   * @param program prefix of the logger
   * @param processId the `processId` of its lines
   */
  constructor(program: string, processId: string) {
    const output = new LineOutput((bytes) => {
      const record = JSON.parse(Buffer.from(bytes).toString()) as CapturedLine;
      if (!this.isEnded) this.records.push(record);
      return bytes.length;
    });
    this.logger = createLogger(program, processId, 'info', output);
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
    this.isEnded = true;
  }
}
