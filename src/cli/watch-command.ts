/** `shoredoor watch`: prints changes and the in-force revision until it is interrupted or has missed changes. */
import type { WatchEvent } from '../sync/watch-event.js';
import { createClient, readOutputFormat, type OperatorOptions } from './command-options.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

export interface WatchOptions extends OperatorOptions {
  readonly from?: number;
}

export async function watchChanges(options: WatchOptions): Promise<ExitCode> {
  const client = createClient(options);
  const format = readOutputFormat(options);
  const from = options.from ?? (await client.list()).revision;
  for await (const event of client.watch(from)) {
    const text = format === 'json' ? JSON.stringify(event) : describeEvent(event);
    process.stdout.write(`${text}\n`);
    if (event.type === 'relist') return EXIT_CODES.failed;
  }
  return EXIT_CODES.ok;
}

function describeEvent(event: WatchEvent): string {
  if (event.type === 'relist') return 'Changes were lost: get the resources, then watch again.';
  if (event.type === 'bookmark') {
    return `revision ${event.revision}, in force everywhere: ${event.inForceRevision}`;
  }
  const { revision, id, stored, actor, at } = event.change;
  const what = stored === undefined ? 'deleted' : 'declared';
  return `revision ${revision}: ${id.kind} '${id.name}' ${what} by ${actor} at ${new Date(at).toISOString()}`;
}
