/** Guards against a build whose programs start only on the architecture whose Node.js package the deploy file names. */
import { expect } from 'chai';
import { once } from 'node:events';
import { existsSync, readdirSync, readFileSync, utimesSync, writeFileSync } from 'node:fs';
import { createInterface } from 'node:readline';
import { stringify } from 'yaml';
import { freePorts } from '../../lab/fleet/free-ports.js';
import { ENGINE_FILE, installEngine } from '../../scripts/engine.js';
import { BuildCheckout, ENGINE_PACKAGE_HERE } from '../support/build-checkout.js';

const ANY_ADDRESS = '127.0.0.1:0';
const LINK_TOKEN = 'link-token-of-the-build';
const OTHER_ARCH = process.arch === 'x64' ? 'arm64' : 'x64';

describe('a build for the users platform', function () {
  this.timeout(60_000);
  let checkout: BuildCheckout;
  beforeEach(() => {
    checkout = new BuildCheckout();
  });
  afterEach(() => checkout.remove());

  /** Starts a role, waits until it listens and stops it. @returns the exit code and standard error */
  async function runRole(role: 'sidecar' | 'control', settings: object): Promise<object> {
    const file = checkout.path(`${role}.yaml`);
    writeFileSync(file, stringify({ id: role, zone: 'a', linkToken: LINK_TOKEN, ...settings }));
    const child = checkout.start(role, file);
    let err = '';
    child.stderr!.on('data', (chunk: Buffer) => (err += chunk.toString()));
    for await (const line of createInterface({ input: child.stdout! })) {
      if (line.includes('"origins"')) break;
    }
    child.kill('SIGTERM');
    const [code] = (await once(child, 'exit')) as [number | null];
    return { code, err };
  }

  async function expectBothProgramsRun(): Promise<void> {
    const sidecar = {
      service: 'ledger',
      inbound: ANY_ADDRESS,
      outbound: ANY_ADDRESS,
      registration: ANY_ADDRESS,
      admin: ANY_ADDRESS,
      control: ['http://127.0.0.1:1'],
    };
    const [port] = await freePorts(1);
    const advertise = `http://127.0.0.1:${port}`;
    const control = {
      listen: `127.0.0.1:${port}`,
      advertise,
      admin: ANY_ADDRESS,
      seeds: [advertise],
      bootstrap: true,
      voters: 1,
      dataDir: checkout.path('data'),
      declarations: 'open',
    };
    expect(await runRole('sidecar', sidecar)).to.deep.equal({ code: 0, err: '' });
    expect(await runRole('control', control)).to.deep.equal({ code: 0, err: '' });
  }

  it('uses the packaged Node.js of this architecture', async () => {
    checkout.addPackagedEngine();
    expect(checkout.build()).to.deep.equal({ status: 0, err: '', npmCalls: [] });
    await expectBothProgramsRun();
  });

  it('uses the installed Node.js where there is no packaged one, and says so', async () => {
    const { status, err } = checkout.build();
    const notice = `The package ${ENGINE_PACKAGE_HERE} is not installed; using `;
    expect(err).to.match(new RegExp(`^${notice}/.+, v[0-9.]+\\.\n$`));
    expect(status).to.equal(0);
    await expectBothProgramsRun();
  });

  it('never runs a packaged Node.js of another architecture', () => {
    checkout.writeForeignProgram(`node_modules/${ENGINE_PACKAGE_HERE}/bin/node`);
    const { status, err } = checkout.build();
    expect(err).to.include(`${ENGINE_PACKAGE_HERE} is of another architecture; using `);
    expect(status).to.equal(0);
    expect(existsSync(checkout.path('ran'))).to.equal(false);
  });

  it('uses the installed Node.js where the packaged one does not start', () => {
    const packaged = checkout.path('node_modules', ENGINE_PACKAGE_HERE, 'bin/node');
    checkout.writeForeignProgram(`node_modules/${ENGINE_PACKAGE_HERE}/bin/node`);
    // Only the header is of this architecture.
    writeFileSync(packaged, readFileSync(process.execPath).subarray(0, 64));
    const { status, err } = checkout.build();
    expect(err).to.match(/ does not run \(.+\); using /);
    expect(status).to.equal(0);
  });

  it('replaces the engine and the code cache of another machine', async () => {
    checkout.addPackagedEngine();
    checkout.writeForeignProgram(ENGINE_FILE);
    writeFileSync(checkout.path('target/main.cjs.cache'), 'of another machine');
    expect(checkout.build()).to.deep.equal({ status: 0, err: '', npmCalls: [] });
    await expectBothProgramsRun();
    expect(existsSync(checkout.path('ran'))).to.equal(false);
  });

  it('builds over what an earlier build left', () => {
    checkout.addPackagedEngine();
    for (let each = 0; each < 2; each += 1) {
      expect(checkout.build()).to.deep.equal({ status: 0, err: '', npmCalls: [] });
    }
    expect(readdirSync(checkout.path('target')).sort()).to.deep.equal([
      'launch.cjs',
      'main.cjs',
      'main.cjs.cache',
      'node',
    ]);
  });

  it('installs packages again that were installed on another machine', () => {
    checkout.addPackagedEngine();
    const path = `node_modules/@esbuild/linux-${OTHER_ARCH}`;
    checkout.recordPackages({ [path]: { os: ['linux'], cpu: [OTHER_ARCH] } });
    const { err, npmCalls } = checkout.build();
    expect(npmCalls).to.deep.equal(['ci --silent']);
    expect(err).to.equal(
      `Installing the packages: ${path} is not for ${process.platform}-${process.arch}.\n`,
    );
  });

  it('keeps packages that were installed for this machine', () => {
    checkout.addPackagedEngine();
    checkout.recordPackages({
      'node_modules/a': { os: [process.platform], cpu: [OTHER_ARCH, process.arch] },
      'node_modules/b': { os: ['!win32'] },
    });
    expect(checkout.build()).to.deep.equal({ status: 0, err: '', npmCalls: [] });
  });

  it('installs packages again that are older than the lock file', () => {
    checkout.addPackagedEngine();
    const later = new Date(Date.now() + 1_000);
    utimesSync(checkout.path('package-lock.json'), later, later);
    expect(checkout.build().npmCalls).to.deep.equal(['ci --silent']);
  });

  it('names the accepted versions where no Node.js is of one', () => {
    checkout.addPackagedEngine();
    const file = checkout.path(ENGINE_FILE);
    expect(() => installEngine(file, checkout.path('node_modules'), '>=99.1')).to.throw(
      `Node.js >=99.1 is needed; the package ${ENGINE_PACKAGE_HERE} is ${process.version}, `,
    );
    expect(existsSync(file)).to.equal(false);
  });
});
