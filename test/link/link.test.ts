import { expect } from 'chai';
import { EventEmitter, once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { Readable } from 'node:stream';
import fc from 'fast-check';
import type { Outcome } from '../../src/call/outcome.js';
import { LinkPool } from '../../src/link/link-pool.js';
import type { LinkCall, LinkCallListener } from '../../src/link/link-stream.js';
import { encodeFrame, FrameReader } from '../../src/link/frame-codec.js';
import type { LinkFrame } from '../../src/link/link-frames.js';
import { AcceptedRepeats } from '../../src/retry/accepted-repeats.js';
import type { IncomingLinkCall } from '../../src/link/incoming-link-call.js';
import { LinkServer } from '../../src/link/link-server.js';
import { LINK_CALL_CONTEXT } from '../support/link-call.js';

const TOKEN = 'a-token-of-this-test';
const OUTCOME: Outcome = {
  verdict: 'ran',
  refusal: undefined,
  overloaded: false,
  unspentRetries: 0,
  load: undefined,
};

const CALL: LinkCall = {
  context: { ...LINK_CALL_CONTEXT, requestId: 'q1', deadlineMs: 500, waitMs: 100, retries: 1 },
  method: 'POST',
  path: '/x',
  headers: ['Host', 'a.example'],
  body: Buffer.from('whole'),
};

/** Records the events of one call. */
class Recorder extends EventEmitter implements LinkCallListener {
  readonly events: string[] = [];
  private bytes = '';

  onHead(status: number): void {
    this.events.push(`head ${status}`);
  }
  onAnswer(status: number, _headers: string[], _outcome: Outcome, body: Buffer): void {
    this.onHead(status);
    this.onData(body);
    this.onEnd();
  }
  onRefused(outcome: Outcome): void {
    this.finish(`refused ${outcome.refusal}`);
  }
  onData(bytes: Buffer): boolean {
    this.bytes += bytes.toString();
    return true;
  }
  onEnd(): void {
    this.finish(`end ${this.bytes.length}`);
  }
  onFailure(written: boolean): void {
    this.finish(`failed ${written}`);
  }
  private finish(text: string): void {
    this.events.push(text);
    this.emit('finished');
  }
}

describe('a link between sidecars', () => {
  const resources: { destroy(): void }[] = [];
  afterEach(() => {
    for (const resource of resources.splice(0)) resource.destroy();
  });

  async function startLink(handler: (call: IncomingLinkCall) => void, token = TOKEN) {
    const server = await LinkServer.start({ host: '127.0.0.1', port: 0 }, TOKEN, handler);
    const pool = new LinkPool(token);
    resources.push(pool, server);
    return { server, pool, origin: server.origin };
  }

  async function runCall(handler: (call: IncomingLinkCall) => void, call = CALL, token = TOKEN) {
    const { pool, origin } = await startLink(handler, token);
    const recorder = new Recorder();
    const finished = once(recorder, 'finished');
    pool.call(origin, call, recorder);
    await finished;
    return recorder.events;
  }

  it('passes an answer on whole', async () => {
    const events = await runCall((call) => {
      call.takeOutcome = () => OUTCOME;
      call.writeHead(200, []);
      call.write(Buffer.from((call.body as Buffer).toString().repeat(2)));
      call.end();
    });
    expect(events).to.deep.equal(['head 200', 'end 10']);
  });

  it('passes the head of an answer on before its body comes', async () => {
    const arrived = new EventEmitter();
    const { pool, origin } = await startLink((call) => arrived.emit('call', call));
    const recorder = new Recorder();
    const finished = once(recorder, 'finished');
    pool.call(origin, CALL, recorder);
    const [call] = (await once(arrived, 'call')) as [IncomingLinkCall];
    call.takeOutcome = () => OUTCOME;
    call.writeHead(200, ['A', 'b']);
    while (recorder.events.length === 0) await new Promise((resolve) => setImmediate(resolve));
    expect(recorder.events).to.deep.equal(['head 200']);
    call.write(Buffer.from('late'));
    call.end();
    await finished;
    expect(recorder.events).to.deep.equal(['head 200', 'end 4']);
  });

  it('gives back every frame as it was sent', () => {
    const text = fc.string({ unit: 'grapheme-ascii' }).filter((line) => !line.includes('\n'));
    const header = fc.tuple(text, text);
    const outcome: fc.Arbitrary<Outcome> = fc.record({
      verdict: fc.constantFrom('not-run', 'may-have-run', 'ran'),
      refusal: fc.constantFrom(undefined, 'overload', 'leaving'),
      overloaded: fc.boolean(),
      nested: fc.boolean(),
      unspentRetries: fc.nat(9),
      congestion: fc.double({ min: 0, max: 1, noNaN: true }),
      load: fc.option(
        fc.record({
          inFlight: fc.nat(),
          limit: fc.nat(),
          repeatRoom: fc.constantFrom(
            AcceptedRepeats.None,
            AcceptedRepeats.Calls,
            AcceptedRepeats.Runs,
          ),
        }),
        { nil: undefined },
      ),
    });
    const body = fc.uint8Array().map((bytes) => Buffer.from(bytes));
    const head = {
      id: fc.nat(),
      status: fc.integer({ min: 200, max: 599 }),
      headers: fc.array(header).map((pairs) => pairs.flat()),
      outcome,
    };
    const context = fc.record({
      requestId: text,
      kind: text,
      service: text,
      importance: fc.nat(3),
      deadlineMs: fc.double({ min: 0, max: 1e6, noNaN: true }),
      waitMs: fc.double({ min: 0, max: 1e6, noNaN: true }),
      objectiveMs: fc.double({ min: 0, max: 1e6, noNaN: true }),
      retries: fc.nat(9),
      isRepeat: fc.boolean(),
      inheritedShare: fc.nat(100).map((percent) => percent / 100),
      answerMarginMs: fc.nat(1_000),
      fingerprint: fc.string({ maxLength: 20 }).map((text) => text.replaceAll('\n', '')),
      groupRank: fc.nat({ max: 20 }),
      clientWaitedMs: fc.nat({ max: 10_000 }),
      isReroutable: fc.boolean(),
    });
    const call = { id: fc.nat(), context, method: text, path: text, headers: head.headers };
    const frames = fc.oneof(
      fc.record({ type: fc.constant('call' as const), ...call }),
      fc.record({ type: fc.constant('call' as const), ...call, body: fc.option(body) }),
      fc.record({ type: fc.constant('answer' as const), ...head, body }),
      fc.record({ type: fc.constant('head' as const), ...head }),
      fc.record({ type: fc.constant('refused' as const), id: head.id, outcome }),
    );
    fc.assert(
      fc.property(frames, (frame) => {
        expect(new FrameReader().read(encodeFrame(frame))).to.deep.equal([frame]);
      }),
    );
  });

  it('tells a refusal, a broken answer and a lost connection apart', async () => {
    const refusal: Outcome = { ...OUTCOME, refusal: 'overload', verdict: 'not-run' };
    expect(await runCall((call) => call.refuse(refusal))).to.deep.equal(['refused overload']);
    const broken = await runCall((call) => {
      call.takeOutcome = () => OUTCOME;
      call.writeHead(200, []);
      call.destroy();
    });
    expect(broken).to.deep.equal(['head 200', 'failed true']);
    const lost = await runCall(() => resources.at(-1)!.destroy());
    expect(lost).to.deep.equal(['failed true']);
  });

  it('says that nothing was sent where no connection could be made', async () => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, 'close');
    const pool = new LinkPool(TOKEN);
    resources.push(pool);
    const recorder = new Recorder();
    pool.call(`http://127.0.0.1:${port}`, CALL, recorder);
    await once(recorder, 'finished');
    expect(recorder.events).to.deep.equal(['failed false']);
  });

  /**
   * Guards against lost responses when a process ends its links in the same event loop turn in which the target
   * responds: frames are only written at the end of the turn.
   */
  it('delivers the answers of the turn in which it ends', async () => {
    const { server, pool, origin } = await startLink((call) => {
      call.takeOutcome = () => OUTCOME;
      call.writeHead(200, []);
      call.write(Buffer.from('whole'));
      call.end();
      void server.finish();
    });
    const recorder = new Recorder();
    const finished = once(recorder, 'finished');
    pool.call(origin, CALL, recorder);
    await finished;
    expect(recorder.events).to.deep.equal(['head 200', 'end 5']);
  });

  it('takes no call from a peer without the token', async () => {
    const calls: IncomingLinkCall[] = [];
    const events = await runCall((call) => calls.push(call), CALL, 'another-token-entirely');
    expect(events).to.deep.equal(['failed true']);
    expect(calls).to.deep.equal([]);
  });

  it('tells the gate when the caller cancels', async () => {
    const arrived = new EventEmitter();
    const { pool, origin } = await startLink((call) => arrived.emit('call', call));
    const stream = pool.call(origin, CALL, new Recorder());
    const [call] = (await once(arrived, 'call')) as [IncomingLinkCall];
    const cancelled = once(call, 'cancel');
    stream!.cancel();
    await cancelled;
  });

  it('carries bodies that are larger than its window, in both directions', async () => {
    const size = 3_000_000;
    const chunks = Array.from({ length: 30 }, () => Buffer.alloc(size / 30, 'x'));
    const events = await runCall(
      (call) => {
        call.takeOutcome = () => OUTCOME;
        call.writeHead(200, []);
        const body = call.body as Readable;
        body.on('data', (chunk: Buffer) => call.write(chunk));
        body.on('end', () => call.end());
      },
      { ...CALL, body: Readable.from(chunks) },
    );
    expect(events).to.deep.equal(['head 200', `end ${size}`]);
  });

  it('cuts what arrives into the frames that were sent, wherever it is split', () => {
    const frames: LinkFrame[] = [
      { type: 'hello', token: TOKEN },
      { type: 'data', id: 1, bytes: Buffer.from('abc') },
      { type: 'end', id: 1 },
    ];
    const bytes = Buffer.concat(frames.map(encodeFrame));
    fc.assert(
      fc.property(fc.array(fc.nat({ max: bytes.length }), { maxLength: 8 }), (cuts) => {
        const reader = new FrameReader();
        const ends = [...cuts.sort((first, second) => first - second), bytes.length];
        let from = 0;
        const read: LinkFrame[] = [];
        for (const end of ends) {
          read.push(...reader.read(bytes.subarray(from, end)));
          from = end;
        }
        expect(read.map(({ type }) => type)).to.deep.equal(['hello', 'data', 'end']);
      }),
    );
  });
});
