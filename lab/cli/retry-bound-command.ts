/** The command `shoredoor-lab retry-bound`: prints the upper bound on what retry policies can complete. */
import type { CAC } from 'cac';
import { z } from 'zod';
import { UsageError } from '../../src/common/errors.js';
import { parseOrThrow } from '../../src/common/validate.js';
import type { BoundKind } from '../retries/retry-bound.js';

interface RetryBoundOptions {
  readonly kind?: string | string[];
  readonly reject: unknown;
  readonly ratio: unknown;
  readonly slack: unknown;
  readonly attempts: unknown;
}

const MAX_CALLS = 10_000;
const MAX_ATTEMPTS = 100;

const serviceSchema = z.object({
  reject: z.coerce.number().min(0).max(1),
  ratio: z.coerce.number().min(0).max(1),
  slackPerSecond: z.coerce.number().min(0),
  attempts: z.coerce.number().int().min(1).max(MAX_ATTEMPTS),
});

const kindSchema = z.object({
  name: z.string().min(1),
  perSecond: z.coerce.number().positive(),
  calls: z.coerce.number().int().min(1).max(MAX_CALLS),
  worth: z.coerce.number().positive(),
  order: z.enum(['sequence', 'together']),
});

const KIND_FORMAT = 'NAME:PER_SECOND:CALLS[:WORTH[:sequence|together]]';
const PERCENT = 100;

export function registerRetryBoundCommand(cli: CAC): void {
  cli
    .command('retry-bound', 'The most requests that any policy of retries could finish')
    .option('--kind <kind>', `${KIND_FORMAT}; may be given several times`)
    .option('--reject <part>', 'Part of the arrivals that targets turn away', { default: 0.5 })
    .option('--ratio <part>', 'Repeats allowed for each first arrival', { default: 0.2 })
    .option('--slack <number>', 'Repeats allowed besides, a second', { default: 0 })
    .option('--attempts <number>', 'Times that one call may arrive', { default: 2 })
    .example('shoredoor-lab retry-bound --reject 0.55 --kind view:98:4 --kind check:31:1:2')
    .action((options: RetryBoundOptions) => printBound(options));
}

async function printBound(options: RetryBoundOptions): Promise<void> {
  const { retryBound } = await import('../retries/retry-bound.js');
  const kinds = [options.kind ?? []].flat().map(kindOf);
  if (kinds.length === 0) throw new UsageError(`--kind is needed: ${KIND_FORMAT}`);
  const { reject, ratio, slack: slackPerSecond, attempts } = options;
  const service = parseOrThrow(
    serviceSchema,
    { reject, ratio, slackPerSecond, attempts },
    'options',
  );
  const result = retryBound(kinds, service);
  print(`all kinds: ${percent(result.worth)} of the worth`);
  for (const { name, finished, firsts, repeats } of result.kinds) {
    print(
      `${name}: ${percent(finished)} finished, ${firsts.toFixed(2)} first arrivals and ` +
        `${repeats.toFixed(2)} repeats a request`,
    );
  }
}

function kindOf(text: string): BoundKind {
  const [name, perSecond, calls, worth = '1', order = 'sequence', ...rest] = text.split(':');
  if (rest.length > 0) throw new UsageError(`--kind ${text} has too many parts: ${KIND_FORMAT}`);
  const given = { name, perSecond, calls, worth, order };
  const { order: parsedOrder, ...kind } = parseOrThrow(kindSchema, given, `--kind ${text}`);
  return { ...kind, together: parsedOrder === 'together' };
}

function percent(part: number): string {
  return `${(PERCENT * part).toFixed(1)}%`;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
