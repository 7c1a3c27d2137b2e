import { expect } from 'chai';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { DiskFiles } from '../../src/storage/disk-files.js';

/** Takes much longer to write and sync than the later content. */
const LARGE_BYTES = 48 * 1024 * 1024;

describe('the files of a data folder', () => {
  // A record that was replaced on a slow disk came back over the newer one.
  it('hold what was replaced last, however long an earlier replacement takes', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'shoredoor-files-'));
    try {
      const files = new DiskFiles(folder);
      const done: string[] = [];
      await Promise.all(
        [Buffer.alloc(LARGE_BYTES), Buffer.from('newer')].map(
          (bytes) =>
            new Promise<void>((resolve, reject) => {
              files.replace('record', bytes, (error) => {
                done.push(`${bytes.length}`);
                if (error === undefined) resolve();
                else reject(error);
              });
            }),
        ),
      );
      expect(done).to.deep.equal([`${LARGE_BYTES}`, '5']);
      expect(Buffer.from(files.read('record')!).toString()).to.equal('newer');
    } finally {
      rmSync(folder, { recursive: true, force: true });
    }
  });
});
