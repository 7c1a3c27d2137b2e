import { expect } from 'chai';
import { setImmediate } from 'node:timers/promises';
import type { Dispatcher } from 'undici';
import type { AnswerSink } from '../../src/http/answer-sink.js';
import { RelayHandler } from '../../src/http/relay-handler.js';

const CHUNKS = 20_000;
const CHUNK = 'whole';
/** One write for each KiB at most. */
const MAX_WRITES = (CHUNKS * CHUNK.length) / 1_024;

/** A sink whose reader takes nothing while `isFull`. */
class RecordingSink implements AnswerSink {
  readonly written: Buffer[] = [];
  isFull = false;
  isEnded = false;
  isDestroyed = false;
  onDrain: (() => void) | undefined;

  writeHead(): void {}
  write(chunk: Buffer): boolean {
    this.written.push(chunk);
    return !this.isFull;
  }
  end(): void {
    this.isEnded = true;
  }
  destroy(): void {
    this.isDestroyed = true;
  }
  once(_event: 'drain', listener: () => void): void {
    this.onDrain = listener;
  }
  off(): void {
    this.onDrain = undefined;
  }
}

/**
 * Guards against a process that runs out of heap: 40 targets sent endless bodies of tiny chunks, whose clients did not read,
 * and each chunk was kept as objects of many times its size.
 */
describe('an answer of tiny chunks', () => {
  let sink: RecordingSink;
  let handler: RelayHandler;
  let pauses: number;
  let resumes: number;
  let controller: Dispatcher.DispatchController;
  let ends: string[];

  beforeEach(() => {
    sink = new RecordingSink();
    pauses = 0;
    resumes = 0;
    ends = [];
    controller = {
      abort: () => undefined,
      pause: () => (pauses += 1),
      resume: () => (resumes += 1),
      rawHeaders: null,
    } as unknown as Dispatcher.DispatchController;
    handler = new RelayHandler(
      sink,
      { readHead: (status) => ({ status, outcome: undefined }), extraHeaders: () => [] },
      {
        onHead: () => 'relay',
        onEnd: () => ends.push('end'),
        onFailure: ({ reason }) => ends.push(reason),
      },
    );
    handler.onRequestStart(controller);
    handler.onResponseStart(controller, 200, {});
  });

  function feed(): void {
    for (let each = 0; each < CHUNKS; each += 1) {
      handler.onResponseData(controller, Buffer.from(CHUNK));
    }
  }

  it('is relayed in few writes, whole', async () => {
    feed();
    handler.onResponseEnd();
    await setImmediate();
    expect(Buffer.concat(sink.written).toString()).to.equal(CHUNK.repeat(CHUNKS));
    expect(sink.written.length).to.be.at.most(MAX_WRITES);
    expect({ isEnded: sink.isEnded, ends }).to.deep.equal({ isEnded: true, ends: ['end'] });
  });

  it('is relayed as far as it came where it breaks off', async () => {
    feed();
    handler.onResponseError(controller, new Error('reset'));
    await setImmediate();
    expect(Buffer.concat(sink.written).length).to.equal(CHUNK.length * CHUNKS);
    expect(ends).to.deep.equal(['broken-answer']);
    expect({ isEnded: sink.isEnded, isDestroyed: sink.isDestroyed }).to.deep.equal({
      isEnded: false,
      isDestroyed: true,
    });
  });

  it('is not read on while its reader takes nothing', async () => {
    sink.isFull = true;
    handler.onResponseData(controller, Buffer.from(CHUNK));
    await setImmediate();
    expect(pauses).to.equal(1);
    sink.onDrain!();
    expect(resumes).to.equal(1);
    handler.onResponseData(controller, Buffer.from(CHUNK));
    await setImmediate();
    expect(pauses).to.equal(2);
  });
});
