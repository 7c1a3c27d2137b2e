/**
 * Symptom: a sidecar took no requests, and its process ran on.
 * Sequence: it was started while something else held its outbound address; its inbound side listened already.
 * Cause: the error of the start was reported, and the open server kept the process alive, so no supervisor started it
 * again.
 * Settled by: "listen EADDRINUSE" in the log of a process that was still there 20 s later.
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
