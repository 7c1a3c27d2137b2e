/**
 * Guards the stored format: a data folder written by an earlier version must be restored completely (resources, revisions, declared
 * sets, results of retried changes). test/fixtures/data-folder was written by test/support/make-data-folder.ts and is never modified;
 * its steps and resulting state are stored beside it.
 */
import { expect } from 'chai';
import { hash } from 'node:crypto';
import { cpSync, mkdtempSync, readdirSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { freePorts } from '../../lab/fleet/free-ports.js';
import { SystemClock } from '../../src/common/clock.js';
import { StoreMachine } from '../../src/control/store-machine.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import { startControl } from '../../src/programs/control-program.js';
import { controlSettingsSchema } from '../../src/settings/schemas.js';
import { DiskFiles } from '../../src/storage/disk-files.js';
import { Cleanup, until, untilReady } from '../support/processes.js';
import { decodedText } from '../support/stored-bytes.js';
import { StoredReplica } from '../support/stored-replica.js';

const OLD_FOLDER = 'test/fixtures/data-folder';
const OPERATOR_TOKEN = 'old-folder-operator-token';
const SHA_256_OF_FILES = {
  identity: 'e1d357e87d72156e1ddfb9ef499dcc5ea2e8cc486400196701210d1f3891c9ed',
  log: 'd66e8e84f0f5cbffada63cff5887425a424b35d800e46e85919fb61836ddd9c1',
  promise: '7be6881803de8f8aebce9d42d629ef9f92228c6fd392fdfcc6259f5e1154c4a1',
  snapshot: 'd811b1a60448e00e8dc039be2ebcd9436e17d39499de1d49e2d179eb57a19924',
};

/** A resource as returned by the resource API. */
interface StoredItem {
  readonly resource: { readonly kind: string; readonly name: string; readonly spec: unknown };
  readonly version: number;
}

/** The state of a store in the format of a snapshot. */
interface StoredState {
  readonly revision: number;
  readonly resources: readonly StoredItem[];
  readonly remembered: readonly unknown[];
  readonly declarations: readonly { readonly version: number; readonly revision: number }[];
}

/** A resource of a declared set. */
type DeclaredItem = StoredItem['resource'];

const STATE = readJson('test/fixtures/data-folder-state.json') as StoredState;
const STEPS = readJson('test/fixtures/data-folder-steps.json') as readonly {
  readonly steps: readonly { readonly type: string; readonly command: unknown }[];
}[];
/** Term of the newest entry in the folder. The restarted replica may need several elections, so its term is only bounded below. */
const LAST_TERM = 3;
const SET_KINDS = ['Route', 'Service', 'Ingress', 'Group'];
const CURRENT_SET = STATE.resources
  .map(({ resource }) => resource)
  .filter(({ kind }) => SET_KINDS.includes(kind));

function readJson(file: string): unknown {
  return JSON.parse(readFileSync(file, 'utf8'));
}

function copyOfOldFolder(): string {
  const folder = join(mkdtempSync(join(tmpdir(), 'shoredoor-old-')), 'data');
  cpSync(OLD_FOLDER, folder, { recursive: true });
  return folder;
}

describe('the data folder of an earlier version', () => {
  const cleanup = new Cleanup();
  afterEach(() => cleanup.run());

  it('is the one that was committed', () => {
    const sums = readdirSync(OLD_FOLDER).map((name) => [
      name,
      hash('sha256', readFileSync(join(OLD_FOLDER, name)), 'hex'),
    ]);
    expect(Object.fromEntries(sums)).to.deep.equal(SHA_256_OF_FILES);
  });

  describe('opened by a replica', () => {
    let replica: StoredReplica;

    beforeEach(async () => {
      const files = new DiskFiles(copyOfOldFolder());
      replica = new StoredReplica({ clock: new SystemClock(), files });
      cleanup.add(() => replica.host.stop());
      replica.host.start();
      await until(() => replica.isCaughtUp);
    });

    /** State of the store, decoded from the bytes of a snapshot. */
    function state(): unknown {
      const machine = new StoreMachine(replica.store, () => undefined);
      return JSON.parse(decodedText(machine.takeSnapshot()));
    }

    async function propose(command: unknown): Promise<unknown> {
      const outcome = await replica.log.propose(
        command as Parameters<typeof replica.log.propose>[0],
      );
      if (outcome.type !== 'applied') throw new Error('the command was refused');
      return outcome.result;
    }

    it('gives every resource, remembered answer and declared set, in a later term', () => {
      expect(state()).to.deep.equal(STATE);
      const { term, commitIndex, voters, learners, replicasSettled } = replica.log.status();
      expect(term).to.be.above(LAST_TERM);
      expect(commitIndex).to.equal(25);
      expect(voters).to.deep.equal(['control-1']);
      expect(learners).to.deep.equal([]);
      expect(replicasSettled).to.equal(true);
      expect(replica.host.identity).to.equal('a3b1c2d4-0000-4000-8000-000000000001');
    });

    it('gives each change that is sent again its first answer, and no revision', async () => {
      const answers: unknown[] = [];
      for (const { steps } of STEPS) {
        for (const { type, command } of steps) {
          if (type === 'propose') answers.push(await propose(command));
        }
      }
      expect(answers).to.deep.equal(readJson('test/fixtures/data-folder-answers.json'));
      expect(state()).to.deep.equal(STATE);
    });

    it('knows a change id that is used for another change', async () => {
      const command = JSON.parse(
        `{"type":"delete","changeId":"change-1","target":{"kind":"Policy","name":"ratenwerk"},
          "actor":"writer","at":1700000009000,"precondition":"any"}`,
      ) as unknown;
      expect(await propose(command)).to.deep.equal({ type: 'change-id-reused' });
    });

    it('gives the next change the next revision', async () => {
      const command = JSON.parse(
        `{"type":"delete","changeId":"change-15","target":{"kind":"Policy","name":"ratenwerk"},
          "actor":"writer","at":1700000009000,"precondition":1}`,
      ) as unknown;
      expect(await propose(command)).to.deep.equal({
        type: 'accepted',
        revision: 14,
        created: false,
      });
    });
  });

  describe('opened by a control program', () => {
    let origin: string;

    beforeEach(async () => {
      const [port] = await freePorts(1);
      origin = `http://127.0.0.1:${port}`;
      const settings: unknown = {
        id: 'control-1',
        zone: 'zone-a',
        admin: '127.0.0.1:0',
        listen: `127.0.0.1:${port}`,
        advertise: origin,
        seeds: [origin],
        dataDir: copyOfOldFolder(),
        electionTimeoutMs: 100,
        declarations: 'open',
        claims: false,
        linkToken: 'old-folder-link-token',
        tokens: [
          { name: 'writer', role: 'write', tokenHash: hash('sha256', OPERATOR_TOKEN, 'hex') },
        ],
      };
      const control = await startControl(controlSettingsSchema.parse(settings), SILENT_LOGGER);
      cleanup.add(() => control.stop());
      await untilReady(control);
      // A newly elected leader refuses reads and sets until the first entry of its term is synced.
      await until(async () => (await call('GET', '/v1/resources')).status === 200);
    });

    async function call(
      method: 'GET' | 'PUT' | 'DELETE',
      path: string,
      body?: unknown,
      headers: Record<string, string> = {},
    ): Promise<{ status: number; body: unknown }> {
      const response = await request(origin + path, {
        method,
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, ...headers },
        body: body === undefined ? null : JSON.stringify(body),
      });
      return { status: response.statusCode, body: await response.body.json() };
    }

    function declare(
      version: number,
      baseVersion: number,
      resources: readonly DeclaredItem[],
    ): Promise<{ status: number; body: unknown }> {
      const headers = { 'if-match': `"${baseVersion}"` };
      return call('PUT', '/v1/declarations', { version, resources }, headers);
    }

    it('gives every resource and the newest set', async () => {
      expect(await call('GET', '/v1/resources')).to.deep.equal({
        status: 200,
        body: { revision: 13, items: STATE.resources },
      });
      expect(await call('GET', '/v1/declarations')).to.deep.equal({
        status: 200,
        body: { version: 10, resources: CURRENT_SET },
      });
    });

    it('answers a change and a set that are sent again as at first', async () => {
      const policy = STATE.resources.find(({ resource }) => resource.kind === 'Policy')!;
      const path = '/v1/resources/Policy/ratenwerk';
      const headers = { 'idempotency-key': 'change-1', 'if-none-match': '*' };
      expect(await call('PUT', path, policy.resource, headers)).to.deep.equal({
        status: 201,
        body: { type: 'accepted', revision: 1, created: true, dryRun: false },
      });
      for (const [version, baseVersion] of [
        [9, 2],
        [10, 9],
      ] as const) {
        expect(await declare(version, baseVersion, [...CURRENT_SET].reverse())).to.deep.equal({
          status: 200,
          body: { version, revision: 10 },
        });
      }
      expect((await declare(9, 2, CURRENT_SET.slice(1))).status).to.equal(412);
    });

    it('gives the next set and the next change the next revisions', async () => {
      const silver = { kind: 'Group', name: 'silver', spec: { keys: ['key-silver'], rank: 5 } };
      const next = CURRENT_SET.map((resource) => (resource.name === 'silver' ? silver : resource));
      expect(await declare(11, 10, next)).to.deep.equal({
        status: 200,
        body: { version: 11, revision: 14 },
      });
      const path = '/v1/resources/Quarantine/f00dfeed00000001';
      const headers = { 'idempotency-key': 'change-15', 'if-match': '"7"' };
      expect(await call('DELETE', path, undefined, headers)).to.deep.equal({
        status: 200,
        body: { type: 'accepted', revision: 15, created: false, dryRun: false },
      });
    });
  });
});
