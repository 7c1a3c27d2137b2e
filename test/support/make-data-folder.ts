/**
 * Generates the data folder that test/control/old-data-folder.test.ts reads, from test/fixtures/data-folder-steps.json.
 * The committed folder represents the disks of existing deployments and must stay readable: add another folder when
 * the stored format is extended.
 *
 * Usage: `node dist/test/support/make-data-folder.js FOLDER`, where FOLDER does not exist yet.
 */
import { existsSync, readFileSync } from 'node:fs';
import { SystemClock } from '../../src/common/clock.js';
import { prepareHashing } from '../../src/common/rendezvous-hash.js';
import { DiskFiles } from '../../src/storage/disk-files.js';
import { until } from './processes.js';
import { StoredReplica } from './stored-replica.js';

/** One operation on the replica. */
type Step =
  | { readonly type: 'propose'; readonly command: unknown }
  | { readonly type: 'declare'; readonly baseVersion: number; readonly document: unknown }
  | { readonly type: 'receive'; readonly message: unknown }
  | { readonly type: 'remove'; readonly name: string };

/** The operations between a start and a stop of the replica. Each run has its own term. */
interface Run {
  readonly snapshotInterval: number;
  readonly steps: readonly Step[];
}

const STEPS_FILE = 'test/fixtures/data-folder-steps.json';
const ACTOR = 'operator';

async function applyStep(replica: StoredReplica, step: Step): Promise<unknown> {
  switch (step.type) {
    case 'propose':
      return replica.log.propose(step.command as Parameters<typeof replica.log.propose>[0]);
    case 'declare': {
      const document = step.document as Parameters<typeof replica.declarations.declare>[0];
      return replica.declarations.declare(document, step.baseVersion, ACTOR);
    }
    case 'receive':
      replica.host.receive('', step.message as Parameters<typeof replica.host.receive>[1]);
      return undefined;
    case 'remove':
      return replica.log.removeReplica(step.name);
  }
}

async function run(folder: string, { snapshotInterval, steps }: Run): Promise<void> {
  const files = new DiskFiles(folder);
  const replica = new StoredReplica({ clock: new SystemClock(), files, snapshotInterval });
  replica.host.start();
  await until(() => replica.isCaughtUp);
  for (const step of steps) {
    const result = await applyStep(replica, step);
    process.stdout.write(`${JSON.stringify(result) ?? 'done'}\n`);
    await until(() => replica.isCaughtUp);
  }
  replica.host.stop();
}

const folder = process.argv[2];
if (folder === undefined || existsSync(folder)) {
  throw new Error('name a folder that does not exist yet');
}
await prepareHashing();
const runs = JSON.parse(readFileSync(STEPS_FILE, 'utf8')) as readonly Run[];
for (const each of runs) await run(folder, each);
