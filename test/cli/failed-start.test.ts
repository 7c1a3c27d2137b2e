/**
 * Guards against a process that stays alive after a failed start because one of its servers already listens, so that no
 * supervisor restarts it.
 */
import { expect } from 'chai';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { once } from 'node:events';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { FleetChild } from '../../lab/fleet/child-process.js';

const PRODUCT_SCRIPT = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const ANY_ADDRESS = '127.0.0.1:0';

describe('a program that can not listen at its address', function () {
  this.timeout(30_000);

  it('ends with an error, though another of its servers listens already', async () => {
    const holder = createServer();
    await once(holder.listen(0, '127.0.0.1'), 'listening');
    const held = `127.0.0.1:${(holder.address() as AddressInfo).port}`;
    const folder = mkdtempSync(join(tmpdir(), 'shoredoor-start-'));
    const file = join(folder, 'sidecar.yaml');
    const settings = {
      id: 'sidecar-1',
      zone: 'zone-a',
      service: 'ledger',
      inbound: ANY_ADDRESS,
      outbound: held,
      registration: ANY_ADDRESS,
      admin: ANY_ADDRESS,
      control: ['http://127.0.0.1:1'],
      linkToken: 'link-token-of-the-failed-start',
    };
    writeFileSync(file, stringify(settings));
    const args = ['sidecar', '--config', file];
    let failure = '';
    try {
      const child = await FleetChild.start('sidecar-1', PRODUCT_SCRIPT, args, join(folder, 'log'));
      await child.kill();
    } catch (error) {
      failure = String(error);
    }
    holder.close();
    expect(failure).to.contain('exited with code 1');
  });
});
