import { expect } from 'chai';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { FleetChild } from '../../lab/fleet/child-process.js';

const STOP_MS = 5_000;

describe('a process of the fleet', () => {
  it('is found ready among its log lines, which go to its log file', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'shoredoor-child-'));
    const script = join(folder, 'child.mjs');
    const logFile = join(folder, 'child.log');
    await writeFile(
      script,
      `console.log(JSON.stringify({ id: 'x', origins: {}, msg: 'node: Listening.' }));
       console.log('plain text');
       console.log(JSON.stringify({ id: 'child', origins: { listen: 'http://127.0.0.1:1' } }));
       console.log(JSON.stringify({ msg: 'node: Later.' }));
       setInterval(() => undefined, 1_000);`,
    );
    const child = await FleetChild.start('child', script, [], logFile);
    try {
      expect(child.announcement.id).to.equal('child');
      expect(child.origin('listen')).to.equal('http://127.0.0.1:1');
      let log = '';
      for (let tries = 0; tries < 50 && !log.includes('Later'); tries += 1) {
        await new Promise((resolve) => setTimeout(resolve, 20));
        log = await readFile(logFile, 'utf8');
      }
      expect(log).to.include('Listening').and.to.include('Later');
    } finally {
      await child.stop(STOP_MS);
      await rm(folder, { recursive: true });
    }
  });
});
