/**
 * Pins the bytes of every frame between sidecars (link-frames.txt), in both directions, and how frames
 * of other versions are decoded. A new field of a call or an outcome is appended and optional for the
 * receiver; codes, enum numbers and texts keep their meaning.
 */
import { expect } from 'chai';
import { pack } from 'msgpackr';
import { CrashNote, type LoadReport, type Outcome } from '../../src/call/outcome.js';
import { encodeFrame, FrameReader } from '../../src/link/frame-codec.js';
import type {
  AnswerFrame,
  CallFrame,
  CallFrameContext,
  LinkFrame,
} from '../../src/link/link-frames.js';
import { AcceptedRepeats } from '../../src/retry/accepted-repeats.js';
import { expectGolden, goldenBytes, readGoldenFile } from './golden-file.js';
import { REFUSAL_REASONS, VERDICTS } from './outcome-values.js';

/** A frame, and the decoded frame where it differs from the encoded one. */
interface FramePin {
  readonly name: string;
  readonly frame: LinkFrame;
  readonly readAs?: LinkFrame;
}

const LENGTH_BYTES = 4;

const FULL_CONTEXT: Required<CallFrameContext> = {
  requestId: '4f2a9c01d3e85b7746a0c1d2e3f40516',
  kind: 'place-order',
  importance: 3,
  service: 'ledger',
  deadlineMs: 1234.5,
  waitMs: 250,
  objectiveMs: 400.25,
  retries: 2,
  isRepeat: true,
  inheritedShare: 0.37,
  answerMarginMs: 15,
  fingerprint: '0123456789abcdef0123-01234567',
  groupRank: 4,
  clientWaitedMs: 0,
  isReroutable: false,
};

const EMPTY_CONTEXT: Required<CallFrameContext> = {
  requestId: 'q1',
  kind: 'k',
  importance: 0,
  service: 's',
  deadlineMs: 0,
  waitMs: 0,
  objectiveMs: 0,
  retries: 0,
  isRepeat: false,
  inheritedShare: 0,
  answerMarginMs: 0,
  fingerprint: '',
  groupRank: 0,
  clientWaitedMs: 0,
  isReroutable: false,
};

const FULL_CALL: Required<CallFrame> = {
  type: 'call',
  id: 7,
  context: FULL_CONTEXT,
  method: 'POST',
  path: '/v1/orders?dry=1',
  headers: ['Host', 'shop.example', 'X-Name', 'Zoë', 'X-Empty', ''],
  body: Buffer.from('{"n":1}'),
};

const FULL_LOAD: Required<Omit<LoadReport, 'kindPace' | 'unservedShare'>> = {
  inFlight: 12,
  limit: 300,
  repeatRoom: AcceptedRepeats.Calls,
};

const FULL_OUTCOME: Required<Omit<Outcome, 'returnInMs' | 'bottleneck'>> = {
  verdict: 'may-have-run',
  refusal: 'overload',
  overloaded: true,
  congestion: 0.625,
  nested: true,
  rejectedByTarget: true,
  crashNote: CrashNote.Suspect,
  unspentRetries: 3,
  load: FULL_LOAD,
};

/** A call with all optional fields omitted. */
const EMPTY_OUTCOME: Outcome = {
  verdict: 'ran',
  refusal: undefined,
  overloaded: false,
  unspentRetries: 0,
  load: undefined,
};
const EMPTY_OUTCOME_READ: Outcome = { ...EMPTY_OUTCOME, nested: false };

const FULL_ANSWER: Required<AnswerFrame> = {
  type: 'answer',
  id: 70_000,
  status: 201,
  headers: ['Content-Type', 'text/plain', 'X-Request-Id', 'q1'],
  outcome: FULL_OUTCOME,
  body: Buffer.from('done'),
};

const NO_BYTES = Buffer.alloc(0);

/** Every kind of frame; a new one fails to compile until it is pinned here. */
const FRAMES: Record<LinkFrame['type'], readonly FramePin[]> = {
  hello: [{ name: 'hello', frame: { type: 'hello', token: 'link-token-0123456789' } }],
  call: [
    { name: 'call, all fields set, body in the frame', frame: FULL_CALL },
    {
      name: 'call, fields at their defaults, no body',
      frame: { ...FULL_CALL, id: 1, context: EMPTY_CONTEXT, headers: [], body: null },
    },
    { name: 'call, body in frames of its own', frame: withoutBody(FULL_CALL) },
    { name: 'call, empty body in the frame', frame: { ...FULL_CALL, body: NO_BYTES } },
    {
      name: 'call of a client that has waited before',
      frame: { ...FULL_CALL, context: { ...FULL_CONTEXT, clientWaitedMs: 640 } },
    },
    {
      name: 'call that another target can run',
      frame: { ...FULL_CALL, context: { ...FULL_CONTEXT, isReroutable: true } },
    },
    {
      name: 'call, inherited share between two hundredths',
      frame: { ...FULL_CALL, context: { ...FULL_CONTEXT, inheritedShare: 0.3749 } },
      readAs: FULL_CALL,
    },
  ],
  answer: [
    { name: 'answer, all fields set', frame: FULL_ANSWER },
    {
      name: 'answer, fields at their defaults',
      frame: { ...FULL_ANSWER, id: 1, headers: [], outcome: EMPTY_OUTCOME, body: NO_BYTES },
      readAs: { ...FULL_ANSWER, id: 1, headers: [], outcome: EMPTY_OUTCOME_READ, body: NO_BYTES },
    },
  ],
  head: [
    {
      name: 'head, all fields set',
      frame: { type: 'head', id: 300, status: 503, headers: ['A', 'b'], outcome: FULL_OUTCOME },
    },
    {
      name: 'head, fields at their defaults',
      frame: { type: 'head', id: 1, status: 200, headers: [], outcome: EMPTY_OUTCOME },
      readAs: { type: 'head', id: 1, status: 200, headers: [], outcome: EMPTY_OUTCOME_READ },
    },
  ],
  refused: [
    { name: 'refused, all fields set', frame: refused(FULL_OUTCOME) },
    {
      name: 'refused, fields at their defaults',
      frame: refused(EMPTY_OUTCOME),
      readAs: refused(EMPTY_OUTCOME_READ),
    },
    {
      name: 'refused, load without a repeat room',
      frame: refused({ ...FULL_OUTCOME, load: { inFlight: 0, limit: 1 } }),
      readAs: refused({
        ...FULL_OUTCOME,
        load: { inFlight: 0, limit: 1, repeatRoom: AcceptedRepeats.Runs },
      }),
    },
    {
      name: 'refused, no congestion',
      frame: refused({ ...FULL_OUTCOME, congestion: 0 }),
    },
    {
      name: 'refused, with a time to return',
      frame: refused({ ...FULL_OUTCOME, refusal: 'target-rate-limit', returnInMs: 450 }),
    },
    {
      name: 'refused, with the pace of the kind',
      frame: refused({
        ...FULL_OUTCOME,
        load: { ...FULL_LOAD, kindPace: { usualMs: 291, longMs: 1_040 } },
      }),
    },
    {
      name: 'refused, with a bottleneck',
      frame: refused({ ...FULL_OUTCOME, bottleneck: { service: 'ledger', pressure: 1.25 } }),
    },
    {
      name: 'refused, with a share of unserved runs',
      frame: refused({ ...FULL_OUTCOME, load: { ...FULL_LOAD, unservedShare: 0.25 } }),
    },
    {
      name: 'refused, with all optional fields',
      frame: refused({
        ...FULL_OUTCOME,
        returnInMs: 450,
        load: { ...FULL_LOAD, kindPace: { usualMs: 291, longMs: 1_040 } },
        bottleneck: { service: 'ledger', pressure: 1.25 },
      }),
    },
    {
      name: 'refused, with a bottleneck and the work there',
      frame: refused({
        ...FULL_OUTCOME,
        bottleneck: { service: 'ledger', pressure: 1.25, workMs: 168 },
      }),
    },
  ],
  data: [{ name: 'data', frame: { type: 'data', id: 5, bytes: Buffer.from('00ff10', 'hex') } }],
  end: [{ name: 'end', frame: { type: 'end', id: 5 } }],
  broken: [{ name: 'broken', frame: { type: 'broken', id: 5 } }],
  cancel: [{ name: 'cancel', frame: { type: 'cancel', id: 5 } }],
  taken: [{ name: 'taken', frame: { type: 'taken', id: 5, bytes: 65_536 } }],
  ping: [{ name: 'ping', frame: { type: 'ping' } }],
  pong: [{ name: 'pong', frame: { type: 'pong' } }],
};

/** The enumerated values of an outcome. */
function valuePins(): FramePin[] {
  return [
    ...REFUSAL_REASONS.map((refusal) => valuePin(`refusal reason ${refusal}`, { refusal })),
    ...VERDICTS.map((verdict) => valuePin(`verdict ${verdict}`, { verdict })),
    ...Object.values(CrashNote).map((crashNote) =>
      valuePin(`crash note ${crashNote}`, { crashNote }),
    ),
    ...[AcceptedRepeats.None, AcceptedRepeats.Calls, AcceptedRepeats.Runs].map((repeatRoom) =>
      valuePin(`repeat room ${repeatRoom}`, { load: { ...FULL_LOAD, repeatRoom } }),
    ),
  ];
}

function valuePin(name: string, value: Partial<Outcome>): FramePin {
  return { name, frame: refused({ ...EMPTY_OUTCOME_READ, ...value }) };
}

function refused(outcome: Outcome): LinkFrame {
  return { type: 'refused', id: 9, outcome };
}

function withoutBody({ body: _body, ...frame }: Required<CallFrame>): CallFrame {
  return frame;
}

/** Encodes a frame with the given fields by plain msgpack. */
function frameOf(fields: unknown): Buffer {
  const payload = pack(fields);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(payload.length);
  return Buffer.concat([length, payload]);
}

function readOne(bytes: Buffer): LinkFrame {
  const frames = new FrameReader().read(bytes);
  expect(frames).to.have.length(1);
  return frames[0]!;
}

const PINS: readonly FramePin[] = [...Object.values(FRAMES).flat(), ...valuePins()];

describe('golden frames between sidecars', () => {
  const golden = readGoldenFile('link-frames.txt');

  it('are what the frames are encoded to', () => {
    const encoded = PINS.map(({ name, frame }) => ({ name, bytes: encodeFrame(frame) }));
    expectGolden(golden, encoded, LENGTH_BYTES);
  });

  it('are read as the frames', () => {
    for (const { name, frame, readAs } of PINS) {
      expect(readOne(goldenBytes(golden, name)), name).to.deep.equal(readAs ?? frame);
    }
  });

  it('are read as the same frames however their bytes are cut', () => {
    const reader = new FrameReader();
    const bytes = Buffer.concat(PINS.map(({ name }) => goldenBytes(golden, name)));
    const frames = Array.from(bytes, (byte) => reader.read(Buffer.from([byte]))).flat();
    expect(frames).to.deep.equal(PINS.map(({ frame, readAs }) => readAs ?? frame));
  });
});

describe('frames of other versions between sidecars', () => {
  const LINES = 'q1\nk\ns\nGET\n/x\nHost\na.example';
  const READ_CALL: LinkFrame = {
    type: 'call',
    id: 7,
    context: {
      requestId: 'q1',
      kind: 'k',
      service: 's',
      importance: 1,
      deadlineMs: 500,
      waitMs: 100,
      objectiveMs: 400,
      retries: 2,
      isRepeat: true,
      inheritedShare: 0.5,
      answerMarginMs: 0,
      fingerprint: '',
      groupRank: 0,
      clientWaitedMs: 0,
      isReroutable: false,
    },
    method: 'GET',
    path: '/x',
    headers: ['Host', 'a.example'],
    body: null,
  };
  const READ_OUTCOME: Outcome = {
    verdict: 'not-run',
    refusal: 'overload',
    overloaded: true,
    nested: false,
    unspentRetries: 1,
    load: { inFlight: 2, limit: 8, repeatRoom: AcceptedRepeats.Calls },
  };

  it('are read with defaults where the last fields of a call are missing', () => {
    const older = frameOf([1, 7, LINES, 1, 500, 100, 400, 2, true, 50, 0, null]);
    expect(readOne(older)).to.deep.equal(READ_CALL);
  });

  it('are read with defaults where the last fields of a call are undefined', () => {
    const fields = [1, 7, LINES, 1, 500, 100, 400, 2, true, 50, 0, null];
    const older = frameOf([...fields, undefined, undefined, undefined]);
    expect(readOne(older)).to.deep.equal(READ_CALL);
  });

  it('are read without the fields of a call that are not known', () => {
    const fields = [1, 7, LINES, 1, 500, 100, 400, 2, true, 50, 0, null, 0, '', 0];
    expect(readOne(frameOf([...fields, 'newer', { field: 1 }]))).to.deep.equal(READ_CALL);
  });

  it('are read without a crash note where an outcome has none', () => {
    const older = ['not-run', 'overload', true, false, 1, 2, 8, null, false, 1];
    expect(readOne(frameOf([4, 9, older]))).to.deep.equal(refused(READ_OUTCOME));
  });

  it('are read without the fields of an outcome that are not known', () => {
    const newer = ['not-run', 'overload', true, false, 1, 2, 8, null, false, 1, null, 'newer'];
    expect(readOne(frameOf([4, 9, newer, 'newer']))).to.deep.equal(refused(READ_OUTCOME));
  });

  it('are read without a crash note that is no text', () => {
    const newer = ['not-run', 'overload', true, false, 1, 2, 8, null, false, 1, { note: 1 }];
    expect(readOne(frameOf([4, 9, newer]))).to.deep.equal(refused(READ_OUTCOME));
  });

  it('are read with values that are not known as they came', () => {
    const newer = ['maybe', 'newer-reason', true, false, 1, 2, 8, 0.5, true, 7, 'newer-note'];
    expect(readOne(frameOf([4, 9, newer]))).to.deep.equal({
      type: 'refused',
      id: 9,
      outcome: {
        verdict: 'maybe',
        refusal: 'newer-reason',
        overloaded: true,
        nested: false,
        unspentRetries: 1,
        load: { inFlight: 2, limit: 8, repeatRoom: 7 },
        congestion: 0.5,
        rejectedByTarget: true,
        crashNote: 'newer-note',
      },
    });
  });

  it('are read without a load where half of it is missing', () => {
    const half = ['not-run', 'overload', true, false, 1, 2, null, null, false, 1, null];
    const expected = refused({ ...READ_OUTCOME, load: undefined });
    expect(readOne(frameOf([4, 9, half]))).to.deep.equal(expected);
  });

  it('end the reading where their kind is not known', () => {
    const read = (): unknown => new FrameReader().read(frameOf([12, 1]));
    expect(read).to.throw(RangeError, 'a frame is of no known kind');
  });

  it('end the reading above 16 MB', () => {
    const largest = Buffer.from('01000000', 'hex');
    expect(new FrameReader().read(largest)).to.deep.equal([]);
    const read = (): unknown => new FrameReader().read(Buffer.from('01000001', 'hex'));
    expect(read).to.throw(RangeError, 'a frame is too large');
  });
});
