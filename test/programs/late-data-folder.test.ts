/** Guards against a control replica that ends because its data folder cannot be used yet. */
import { expect } from 'chai';
import { mkdtempSync, readFileSync, renameSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { ControlReplicas, type ControlReplica } from '../../lab/fleet/control-replicas.js';
import { parseResource } from '../../src/policy/resource-schema.js';
import { until } from '../support/processes.js';

/** Some retries, which are 1 s apart. */
const UNUSABLE_MS = 2_500;

/** What stands in the place of the data folder. */
const STAND_INS: Readonly<Record<string, (path: string) => void>> = {
  'a file': (path) => writeFileSync(path, ''),
  'a link to a folder that is not there': (path) => symlinkSync(`${path}.missing`, path),
};

describe('a control replica in whose place of the data folder there is', function () {
  this.timeout(60_000);

  let workDir: string;
  let control: ControlReplicas;
  let replica: ControlReplica;

  beforeEach(async () => {
    workDir = mkdtempSync(join(tmpdir(), 'shoredoor-folder-'));
    control = await ControlReplicas.start(workDir, ['zone-a']);
    replica = control.all[0]!;
  });

  afterEach(async () => {
    await control.kill();
    rmSync(workDir, { recursive: true, force: true });
  });

  async function readiness(): Promise<{ readonly status: number; readonly text: string }> {
    const response = await request(`${replica.process.origin('admin')}/readyz`);
    return { status: response.statusCode, text: await response.body.text() };
  }

  function identity(folder: string): Buffer {
    return readFileSync(join(folder, 'identity'));
  }

  for (const [name, place] of Object.entries(STAND_INS)) {
    it(`${name}, runs on without taking part, and takes part with all its data afterwards`, async () => {
      const resource = parseResource({ kind: 'Service', name: 'ledger', spec: { queueWaitMs: 7 } });
      await control.client().put(resource, { changeId: 'change-1' });
      await replica.process.kill();
      const { dataDir } = replica;
      const kept = `${dataDir}.kept`;
      const before = identity(dataDir);
      renameSync(dataDir, kept);
      place(dataDir);

      await replica.process.start();
      await delay(UNUSABLE_MS);
      const { status, text } = await readiness();
      expect(status).to.equal(503);
      expect(text).to.match(/E[A-Z]+: .*Could not /s);
      expect(readFileSync(join(workDir, 'control-1.log'), 'utf8')).to.contain(
        'The replica cannot participate in the cluster.',
      );

      rmSync(dataDir);
      renameSync(kept, dataDir);
      await until(async () => (await readiness()).status === 200);
      expect(identity(dataDir)).to.deep.equal(before);
      const { items, revision } = await control.client().list();
      expect(revision).to.equal(1);
      expect(items).to.have.length(1);
      expect(replica.process.ownExits).to.equal(0);
    });

    it(`${name}, is formed once it can create its folder`, async () => {
      await replica.process.kill();
      control.loseDisk(replica);
      place(replica.dataDir);
      await replica.process.start();
      await delay(UNUSABLE_MS);
      expect((await readiness()).status).to.equal(503);
      rmSync(replica.dataDir);
      await until(async () => (await readiness()).status === 200);
      expect(replica.process.ownExits).to.equal(0);
    });
  }
});
