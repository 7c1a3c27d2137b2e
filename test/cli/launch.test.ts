import { expect } from 'chai';
import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, existsSync, openSync } from 'node:fs';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const LAUNCH = fileURLToPath(new URL('../../src/cli/launch.js', import.meta.url));
const BUNDLE = `
exports.run = async (args) => { console.log('ran ' + args.join(' ')); };
exports.loadAll = async () => { console.log('loaded'); };
`;

/** Lines that the launcher itself writes about the process; all others come from the bundle. */
const PROCESS_LINES = /^\{.*"msg":"process: .*\}\n/gm;

interface LaunchResult {
  readonly failed: boolean;
  /** What the bundle writes. */
  readonly out: string;
  readonly err: string;
}

async function launch(...args: string[]): Promise<LaunchResult> {
  return new Promise((resolve) => {
    execFile(process.execPath, [LAUNCH, ...args], (error, out, err) =>
      resolve({ failed: error !== null, out: out.replace(PROCESS_LINES, '').trim(), err }),
    );
  });
}

describe('the launcher of a bundle', () => {
  let bundle: string;
  beforeEach(async () => {
    bundle = join(await mkdtemp(join(tmpdir(), 'shoredoor-')), 'main.cjs');
    await writeFile(bundle, BUNDLE);
  });

  it('runs a bundle with its arguments, with and without a cache', async () => {
    expect((await launch(bundle, 'sidecar', 'file')).out).to.equal('ran sidecar file');
    expect((await launch('--write-cache', bundle)).out).to.equal('loaded');
    expect(existsSync(`${bundle}.cache`)).to.equal(true);
    const result = await launch(bundle, 'sidecar', 'file');
    expect(result).to.deep.equal({ failed: false, out: 'ran sidecar file', err: '' });
  });

  it('passes over a cache that is damaged or of another bundle, and says so', async () => {
    const notice = `shoredoor: the code cache ${bundle}.cache does not fit this bundle and Node.js ${process.version} on ${process.arch}; starting without it\n`;
    await launch('--write-cache', bundle);
    await writeFile(bundle, BUNDLE.replace('ran ', 'was changed to run '));
    const changed = { failed: false, out: 'was changed to run x', err: notice };
    expect(await launch(bundle, 'x')).to.deep.equal(changed);
    await writeFile(`${bundle}.cache`, 'damaged');
    expect(await launch(bundle, 'x')).to.deep.equal(changed);
  });

  it('runs the bundle though it cannot say on standard error that the cache is damaged', async () => {
    await writeFile(`${bundle}.cache`, 'damaged');
    const full = openSync('/dev/full', 'w');
    const child = spawn(process.execPath, [LAUNCH, bundle, 'x'], {
      stdio: ['ignore', 'pipe', full],
    });
    closeSync(full);
    let out = '';
    child.stdout!.on('data', (text: Buffer) => (out += text.toString()));
    await once(child, 'close');
    expect(child.exitCode).to.equal(0);
    expect(out.replace(PROCESS_LINES, '').trim()).to.equal('ran x');
  });

  it('fails with a clear error where there is no bundle', async () => {
    const { failed, err } = await launch(`${bundle}.missing`);
    expect(failed).to.equal(true);
    expect(err).to.match(/^shoredoor: .*ENOENT/);
  });
});
