/** Guards against processes that end because of an error of a server that listens or is about to. */
import { expect } from 'chai';
import { once } from 'node:events';
import { connect, createServer, Server, type AddressInfo } from 'node:net';
import { ListenError } from '../../src/common/errors.js';
import { listen, listenContexts } from '../../src/http/listen.js';
import { CapturedLines } from '../support/captured-lines.js';

const ADDRESS = { host: '192.0.2.1', port: 4_000 };
const ANY_PORT = { host: '127.0.0.1', port: 0 };
/** Errors with which `accept` fails, negated as the system reports them. */
const ACCEPT_ERRORS = { ENFILE: -23, EMFILE: -24, ECONNABORTED: -103, ENOBUFS: -105 };

/** The internal handle of a server, through which Node.js reports the result of `accept`. */
interface ListeningHandle {
  readonly _handle: { onconnection(error: number): void };
}

/** A server whose first tries to listen fail with `code`. */
class FailingServer extends Server {
  tries = 0;

  constructor(
    private readonly code: string,
    private readonly failures: number,
  ) {
    super();
  }

  override listen(): this {
    this.tries += 1;
    const failure = Object.assign(new Error(`listen ${this.code}`), { code: this.code });
    if (this.tries <= this.failures) process.nextTick(() => this.emit('error', failure));
    else super.listen(0, '127.0.0.1');
    return this;
  }
}

describe('a listening server', () => {
  let captured: CapturedLines;
  let server: Server;

  beforeEach(() => {
    captured = new CapturedLines('program', 'listen');
    server = createServer();
  });

  afterEach(() => {
    captured.end();
    server.close();
  });

  for (const [code, error] of Object.entries(ACCEPT_ERRORS)) {
    it(`goes on, and logs it once a second, when a connection cannot be accepted: ${code}`, async () => {
      const context = listenContexts(captured.logger)('inbound');
      await listen(server, ANY_PORT, context);
      for (let times = 0; times < 10; times += 1) {
        (server as unknown as ListeningHandle)._handle.onconnection(error);
      }
      const [line, ...more] = captured.of('program: A listening server failed.');
      expect(line).to.include({ level: 50, setting: 'inbound', suppressed: 0 });
      expect(line?.error).to.contain(code);
      expect(more).to.deep.equal([]);
      const accepted = once(server, 'connection');
      const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
      await accepted;
      client.destroy();
    });
  }

  it('waits for an address that appears late', async () => {
    server = new FailingServer('EADDRNOTAVAIL', 2);
    await listen(server, ADDRESS, listenContexts(captured.logger)('admin'));
    const lines = captured.of('program: Could not listen; retrying.');
    expect(lines).to.have.length(2);
    const expected = { address: '192.0.2.1:4000', setting: 'admin', code: 'EADDRNOTAVAIL' };
    expect(lines[0]).to.include(expected);
  });

  it('fails at the first try when another one cannot help', async () => {
    const failing = new FailingServer('EACCES', Infinity);
    const context = listenContexts(captured.logger)('admin');
    const failure = await listen(failing, ADDRESS, context).catch((error: unknown) => error);
    expect(failure).to.be.instanceOf(ListenError);
    expect(String(failure)).to.contain('listen EACCES');
    expect(String(failure)).to.contain("Could not listen at 192.0.2.1:4000 (setting 'admin').");
    expect(failing.tries).to.equal(1);
  });
});
