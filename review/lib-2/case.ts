/** Runs a case: exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run. */
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Clients } from './clients.ts';
import type { Target } from './target.ts';

const LIMIT_MS = 110_000;

/** Whether the disruption is left out. */
export const IS_CALM = process.env['TROUBLE'] === '0';

/** What was sent, answered and run, with times in seconds since the start of the case. */
export class CaseRecord {
  private readonly lines: { at: number; text: string }[] = [];
  private readonly startedAt = Date.now();

  /** @param at milliseconds since 1970 */
  add(text: string, at = Date.now()): void {
    this.lines.push({ at, text });
  }

  addClients({ sent }: Clients): void {
    for (const { id, at, endedAt, status } of sent) {
      this.add(`sent ${id}`, at);
      this.add(`answered ${id}: ${status === 0 ? 'no answer' : status}`, endedAt);
    }
  }

  addTarget({ arrivals, options }: Target): void {
    const name = `${options.instance} of ${options.service}`;
    for (const { at, id, path, ran } of arrivals) {
      this.add(`${name} ${ran ? 'runs' : 'rejects'} ${id} ${path}`, at);
    }
  }

  write(folder: string): void {
    const sorted = [...this.lines].sort((first, second) => first.at - second.at);
    const texts = sorted.map(({ at, text }) => {
      return `${((at - this.startedAt) / 1_000).toFixed(3)} ${text}`;
    });
    writeFileSync(join(folder, 'record.txt'), `${texts.join('\n')}\n`);
  }
}

export interface CaseResult {
  readonly isBroken: boolean;
  readonly summary: string;
}

/** @param moduleUrl of the script, beside which the record is written */
export async function runCase(
  moduleUrl: string,
  play: (record: CaseRecord) => Promise<CaseResult>,
): Promise<void> {
  const folder = dirname(fileURLToPath(moduleUrl));
  const record = new CaseRecord();
  const end = (text: string, code: number): void => {
    record.add(text);
    record.write(folder);
    process.stdout.write(`${text}\n`);
    process.exit(code);
  };
  setTimeout(() => end('the case took too long', 2), LIMIT_MS);
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => end(`the case was ended by ${signal}`, 2));
  }
  try {
    const { isBroken, summary } = await play(record);
    end(summary, isBroken ? 1 : 0);
  } catch (error) {
    end(`the case could not run: ${String(error)}`, 2);
  }
}
