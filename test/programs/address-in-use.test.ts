/**
 * Guards against programs that end because an address of their settings is in use for a moment: by the process before, or by
 * another process that got the port for an outgoing connection.
 */
import { expect } from 'chai';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { connect, createServer, type AddressInfo, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { freePorts } from '../../lab/fleet/free-ports.js';
import { ANY_PORT, ProgramProcess, type ProgramName } from '../../lab/fleet/program-process.js';

const LOOPBACK = '127.0.0.1';
/** Time for which an address is in use, in milliseconds. */
const HELD_MS = 2_000;
/** Address of no machine (RFC 5737). */
const MISSING_ADDRESS = '192.0.2.1';

interface HeldPort {
  readonly port: number;
  release(): Promise<void>;
}

async function holdByListening(): Promise<HeldPort> {
  const [port] = await freePorts(1);
  const holder = createServer();
  await once(holder.listen(port, LOOPBACK), 'listening');
  return {
    port: port!,
    release: async () => {
      await once(holder.close(), 'close');
    },
  };
}

/** Only a port that the system has chosen is refused to servers; one that the client binds is not. */
async function holdByConnecting(): Promise<HeldPort> {
  const peer = createServer((socket) => {
    socket.resume().on('error', () => undefined);
  });
  await once(peer.listen(0, LOOPBACK), 'listening');
  const peerPort = (peer.address() as AddressInfo).port;
  const socket = connect({ port: peerPort, host: LOOPBACK });
  await once(socket, 'connect');
  return {
    port: socket.localPort!,
    release: async () => {
      // A port whose connection was closed in order stays in use until TIME_WAIT is over.
      socket.resetAndDestroy();
      await once(peer.close(), 'close');
    },
  };
}

describe('a program one of whose addresses is in use', function () {
  this.timeout(30_000);

  let folder: string;
  let control: Server;
  let connections: number;
  let program: ProgramProcess | undefined;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'shoredoor-address-'));
    connections = 0;
    control = createServer((socket) => {
      connections += 1;
      socket.destroy();
    });
    await once(control.listen(0, LOOPBACK), 'listening');
  });

  afterEach(async () => {
    await program?.kill();
    control.close();
    rmSync(folder, { recursive: true, force: true });
  });

  /** Creates a program that connects to `control` as soon as it takes part. */
  async function createProgram(name: ProgramName, addresses: object): Promise<ProgramProcess> {
    const peer = `http://${LOOPBACK}:${(control.address() as AddressInfo).port}`;
    program = new ProgramProcess('one', name, folder, {
      ...(await settingsOf(name, peer)),
      ...addresses,
    });
    return program;
  }

  async function settingsOf(name: ProgramName, peer: string): Promise<object> {
    if (name === 'control') {
      const [port] = await freePorts(1);
      const advertise = `http://${LOOPBACK}:${port}`;
      const dataDir = join(folder, 'data');
      const seeds = [peer, advertise];
      const listen = { host: LOOPBACK, port };
      return { listen, advertise, seeds, bootstrap: true, dataDir, electionTimeoutMs: 100 };
    }
    if (name === 'edge') return { control: [peer], listen: ANY_PORT };
    const common = { control: [peer], service: 'ledger', inbound: ANY_PORT, outbound: ANY_PORT };
    return name === 'node'
      ? { ...common, target: { origin: `http://${LOOPBACK}:1` } }
      : { ...common, registration: ANY_PORT };
  }

  function logged(): Record<string, unknown>[] {
    const lines = readFileSync(join(folder, 'one.log'), 'utf8').split('\n').filter(Boolean);
    return lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  for (const name of ['control', 'sidecar', 'node', 'edge'] as const) {
    it(`starts, and connects to others, once it is free: ${name}`, async () => {
      const held = await holdByListening();
      const created = await createProgram(name, { admin: { host: LOOPBACK, port: held.port } });
      const started = created.start();
      await Promise.race([started, delay(HELD_MS)]);
      expect(connections, 'connections while an address was in use').to.equal(0);
      await held.release();
      await started;
      expect(created.origin('admin')).to.equal(`http://${LOOPBACK}:${held.port}`);
      while (connections === 0) await delay(10);
      const retries = logged().filter(({ msg }) =>
        String(msg).endsWith('Could not listen; retrying.'),
      );
      expect(retries).to.have.length.within(1, 20);
      expect(retries[0]).to.include({
        address: `${LOOPBACK}:${held.port}`,
        setting: 'admin',
        code: 'EADDRINUSE',
      });
    });
  }

  // Calls that were accepted meanwhile reached the target and were cut when the start failed or was stopped.
  for (const [name, server] of [
    ['sidecar', 'inbound'],
    ['node', 'inbound'],
    ['edge', 'listen'],
  ] as const) {
    it(`accepts no call until it is free: ${name}`, async () => {
      const held = await holdByListening();
      const [port] = await freePorts(1);
      const created = await createProgram(name, {
        admin: { host: LOOPBACK, port: held.port },
        [server]: { host: LOOPBACK, port },
      });
      const started = created.start();
      const until = Date.now() + HELD_MS;
      while (Date.now() < until) {
        const caller = connect({ port: port!, host: LOOPBACK });
        const [outcome] = await Promise.race([
          once(caller, 'connect').then(() => ['accepted']),
          once(caller, 'close').then(() => ['refused']),
        ]).catch(() => ['refused']);
        expect(outcome).to.equal('refused');
        await delay(50);
      }
      await held.release();
      await started;
      const caller = connect({ port: port!, host: LOOPBACK });
      await once(caller, 'connect');
      caller.destroy();
    });
  }

  it('starts once the outgoing connection is closed that has its port', async () => {
    const held = await holdByConnecting();
    const created = await createProgram('sidecar', {
      inbound: { host: LOOPBACK, port: held.port },
    });
    const started = created.start();
    await Promise.race([started, delay(HELD_MS)]);
    expect(connections, 'connections while an address was in use').to.equal(0);
    await held.release();
    await started;
    expect(created.origin('inbound')).to.equal(`http://${LOOPBACK}:${held.port}`);
  });

  for (const [reason, host] of [
    ['EADDRINUSE', LOOPBACK],
    ['EADDRNOTAVAIL', MISSING_ADDRESS],
  ] as const) {
    it(`ends and says why, when it stays so: ${reason}`, async () => {
      const held = await holdByListening();
      const outbound = { host, port: held.port };
      const created = await createProgram('sidecar', { outbound });
      const failure = await created.start().catch((error: unknown) => String(error));
      await held.release();
      expect(failure).to.contain('exited with code 1');
      const [failed, last, ...more] = logged().slice(-2);
      expect(more).to.deep.equal([]);
      expect(failed).to.include({ level: 50, msg: 'sidecar: The start failed.' });
      expect(last).to.include({
        level: 50,
        msg: 'process: Ended.',
        reason: 'failed-start',
        code: 1,
      });
      const expected = `Could not listen at ${host}:${held.port} (setting 'outbound').`;
      for (const line of [failed!, last!]) {
        const { error, cause } = line;
        expect(`${String(error)} ${String(cause)}`).to.contain(expected);
        expect(`${String(error)} ${String(cause)}`).to.contain(`listen ${reason}`);
      }
      expect(connections).to.equal(0);
    });
  }
});
