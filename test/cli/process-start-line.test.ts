import { expect } from 'chai';
import {
  PRODUCT_SCRIPT,
  ProductProcess,
  SettingsFile,
  sidecarDocument,
} from '../support/product-process.js';
import { bundlePrograms, type TestBundle } from '../support/test-bundle.js';

const UNREACHABLE = 'http://127.0.0.1:1';
const HEAP_FLAG = '--max-old-space-size=160';

describe('the first log line of a process', function () {
  this.timeout(30_000);
  let bundle: TestBundle;
  before(async () => {
    bundle = await bundlePrograms();
  });
  afterEach(() => ProductProcess.killRemaining());

  it('says what it runs, on what, and within which limits', async () => {
    const file = new SettingsFile(sidecarDocument(UNREACHABLE));
    const child = ProductProcess.start([
      HEAP_FLAG,
      bundle.launcher,
      bundle.program,
      'sidecar',
      file.path,
    ]);
    await child.announcement();
    child.kill('SIGTERM');
    expect(await child.ended).to.deep.equal({ code: 0, signal: null });
    const [first] = child.records;
    expect(first).to.include({
      msg: 'process: Starting.',
      name: 'shoredoor',
      level: 30,
      v: 0,
      pid: child.pid,
      program: 'sidecar',
      settingsFile: file.path,
      engine: process.version,
      architecture: process.arch,
    });
    expect(first!.flags).to.deep.equal([HEAP_FLAG]);
    for (const limit of ['heapLimitMb', 'memoryLimitMb', 'descriptorLimit']) {
      expect(first![limit], limit).to.be.a('number').above(0);
    }
  });

  it('is there if the bundle is missing', async () => {
    const child = ProductProcess.start([bundle.launcher, `${bundle.program}.gone`, 'control', 'x']);
    expect(await child.ended).to.deep.equal({ code: 1, signal: null });
    expect(child.records[0]).to.include({ msg: 'process: Starting.', program: 'control' });
  });

  it('is there if the settings file is missing, and names the version', async () => {
    for (const flags of [['--config', '/nowhere'], ['--config=/nowhere']]) {
      const child = ProductProcess.start([PRODUCT_SCRIPT, 'edge', ...flags]);
      expect(await child.ended).to.deep.equal({ code: 2, signal: null });
      const [first] = child.records;
      expect(first).to.include({ msg: 'process: Starting.', settingsFile: '/nowhere' });
      expect(first!.version).to.match(/^\d+\.\d+\.\d+$/);
    }
  });
});
