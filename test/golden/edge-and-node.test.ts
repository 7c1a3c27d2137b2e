/**
 * Pins the headers between edges and nodes, as sent and as parsed by the receiver. Edges and nodes of two
 * versions call each other during a rolling update: headers and fields keep their names, and a new field
 * is optional for the receiver.
 */
import { expect } from 'chai';
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  CONTEXT_HEADER,
  headerSafeName,
  DEADLINE_HEADER,
  formatContext,
  LINK_HEADER,
  OUTCOME_HEADER,
  parseContext,
  REQUEST_ID_HEADER,
  VERDICT_HEADER,
  type CallContext,
} from '../../src/call/call-context.js';
import {
  CrashNote,
  formatOutcome,
  parseOutcome,
  notStartedOutcome,
  type Outcome,
} from '../../src/call/outcome.js';
import {
  formatTraceParent,
  newSpanId,
  newTraceId,
  parseTraceParent,
} from '../../src/call/trace-parent.js';
import type { AnswerHead, AttemptListener } from '../../src/call/transport.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { ConnectionPools } from '../../src/http/connection-pools.js';
import { NodeTransport } from '../../src/http/node-transport.js';
import type { RequestBody } from '../../src/http/request-body.js';
import { HttpTargetTransport } from '../../src/http/target-transport.js';
import { IMPORTANCE_NAMES, importanceFromName } from '../../src/policy/importance.js';
import { AcceptedRepeats } from '../../src/retry/accepted-repeats.js';
import type { EndpointRecord } from '../../src/call/endpoint.js';
import { Cleanup, startTarget } from '../support/processes.js';
import {
  post,
  startRecorder,
  type ArrivedAnswer,
  type ArrivedRequest,
  type FixedAnswer,
} from './wire-exchange.js';

const REQUEST_ID = '4f2a9c01d3e85b7746a0c1d2e3f40516';
const SPAN_ID = '00f067aa0ba902b7';
const NOW = 1_000;

const FULL_CONTEXT: Required<CallContext> = {
  requestId: REQUEST_ID,
  group: 'gold',
  kind: 'place-order',
  importance: 2,
  deadlineAt: NOW + 1_234.9,
  retries: 2,
  service: 'ledger',
  waitUntil: NOW + 250.9,
  objectiveMs: 400,
  isRepeat: true,
  inheritedShare: 0.5,
  answerMarginMs: 15,
  fingerprint: '0123456789abcdef0123-01234567',
  groupRank: 1,
  clientWaitedMs: 0,
  isReroutable: false,
};

const BASE_CONTEXT: CallContext = {
  requestId: REQUEST_ID,
  group: 'gold',
  kind: 'place-order',
  importance: 2,
  deadlineAt: NOW + 1_234,
  retries: 2,
};

const FULL_OUTCOME: Required<Omit<Outcome, 'returnInMs' | 'bottleneck'>> = {
  verdict: 'may-have-run',
  refusal: 'overload',
  overloaded: true,
  congestion: 0.5,
  nested: true,
  rejectedByTarget: true,
  crashNote: CrashNote.Suspect,
  unspentRetries: 3,
  load: { inFlight: 12, limit: 300, repeatRoom: AcceptedRepeats.Calls },
};

const BASE_OUTCOME: Outcome = {
  verdict: 'ran',
  refusal: undefined,
  overloaded: false,
  unspentRetries: 0,
  load: undefined,
};

describe('golden headers between edges and nodes', () => {
  it('have the golden names', () => {
    expect(CONTEXT_HEADER).to.equal('shoredoor-context');
    expect(LINK_HEADER).to.equal('shoredoor-link');
    expect(DEADLINE_HEADER).to.equal('shoredoor-deadline-ms');
    expect(OUTCOME_HEADER).to.equal('shoredoor-outcome');
    expect(VERDICT_HEADER).to.equal('shoredoor-verdict');
    expect(REQUEST_ID_HEADER).to.equal('shoredoor-request-id');
  });

  it('write a context', () => {
    expect(formatContext(FULL_CONTEXT, NOW)).to.equal(
      'group=gold, kind=place-order, importance=2, deadline=1234, retries=2, service=ledger, wait=250',
    );
    expect(formatContext(BASE_CONTEXT, NOW)).to.equal(
      'group=gold, kind=place-order, importance=2, deadline=1234, retries=2',
    );
    expect(formatContext({ ...FULL_CONTEXT, retries: 0 }, NOW + 9_000)).to.equal(
      'group=gold, kind=place-order, importance=2, deadline=0, retries=0, service=ledger, wait=0',
    );
  });

  it('write names that a context can hold', () => {
    expect(['a b/ü', '_x', '', 'Ab.c-1_'].map(headerSafeName)).to.deep.equal([
      'a_b__',
      'x_x',
      'x',
      'Ab.c-1_',
    ]);
  });

  it('read a context', () => {
    const read = (text: string): CallContext | undefined => parseContext(text, REQUEST_ID, NOW);
    const base = 'group=gold, kind=place-order, importance=2, deadline=1234, retries=2';
    expect(read(base)).to.deep.equal(BASE_CONTEXT);
    expect(read(`${base}, service=ledger, wait=250`)).to.deep.equal({
      ...BASE_CONTEXT,
      service: 'ledger',
      waitUntil: NOW + 250,
    });
    // As another version may send it: additional fields, a different order, no spaces.
    expect(
      read('retries=2,deadline=1234,newer=1,importance=2,kind=place-order,group=gold'),
    ).to.deep.equal(BASE_CONTEXT);
    for (const field of ['group', 'kind', 'importance', 'deadline', 'retries']) {
      const lacking = base.replace(`${field}=`, `no-${field}=`);
      expect(read(lacking), field).to.equal(undefined);
    }
    expect(read(base.replace('importance=2', 'importance=4'))).to.equal(undefined);
    expect(read(base.replace('deadline=1234', 'deadline=12.5'))).to.equal(undefined);
  });

  it('number the importances from the least', () => {
    const numbers = IMPORTANCE_NAMES.map((name) => [name, importanceFromName(name)]);
    expect(numbers).to.deep.equal([
      ['low', 0],
      ['normal', 1],
      ['high', 2],
      ['critical', 3],
    ]);
  });

  it('write an outcome', () => {
    expect(formatOutcome(FULL_OUTCOME)).to.equal(
      'verdict=may-have-run, unspent=3, refusal=overload, overloaded=1, in-flight=12, limit=300',
    );
    expect(formatOutcome(BASE_OUTCOME)).to.equal('verdict=ran, unspent=0');
    const limited: Outcome = {
      ...notStartedOutcome('target-rate-limit', 1),
      returnInMs: 449.5,
    };
    expect(formatOutcome(limited)).to.equal(
      'verdict=not-run, unspent=1, refusal=target-rate-limit, return-in-ms=450',
    );
    expect(parseOutcome(formatOutcome(limited))).to.deep.equal({ ...limited, returnInMs: 450 });
    expect(formatOutcome(notStartedOutcome('too-large', 2))).to.equal(
      'verdict=not-run, unspent=2, refusal=too-large',
    );
  });

  it('read an outcome', () => {
    const full =
      'verdict=may-have-run, unspent=3, refusal=overload, overloaded=1, in-flight=12, limit=300';
    const read: Outcome = {
      verdict: 'may-have-run',
      refusal: 'overload',
      overloaded: true,
      unspentRetries: 3,
      load: { inFlight: 12, limit: 300 },
    };
    expect(parseOutcome(full)).to.deep.equal(read);
    expect(parseOutcome(`newer=1,${full}`)).to.deep.equal(read);
    expect(parseOutcome('verdict=ran')).to.deep.equal(BASE_OUTCOME);
    expect(parseOutcome('verdict=ran, refusal=newer-reason, limit=3')).to.deep.equal(BASE_OUTCOME);
    expect(parseOutcome('verdict=newer')).to.equal(undefined);
    expect(parseOutcome('unspent=1')).to.equal(undefined);
    expect(parseOutcome(undefined)).to.equal(undefined);
  });

  it('write and read a trace parent', () => {
    const parent = { traceId: REQUEST_ID, spanId: SPAN_ID };
    const text = '00-4f2a9c01d3e85b7746a0c1d2e3f40516-00f067aa0ba902b7-01';
    expect(formatTraceParent(parent)).to.equal(text);
    expect(parseTraceParent(text)).to.deep.equal(parent);
    expect(parseTraceParent(text.replace(/01$/, '00'))).to.deep.equal(parent);
    expect(parseTraceParent(text.replace(/^00/, '01'))).to.equal(undefined);
    expect(newTraceId()).to.match(/^[0-9a-f]{32}$/);
    expect(newSpanId()).to.match(/^[0-9a-f]{16}$/);
  });
});

describe('golden requests of edges and nodes', () => {
  const MESSAGE = {
    method: 'POST',
    url: '/v1/orders?dry=1',
    headers: {},
    rawHeaders: ['X-Any', 'a', 'Shoredoor-Link', 'forged', 'Traceparent', 'old', 'Expect', 'no'],
  } as unknown as IncomingMessage;
  const BODY: RequestBody = {
    content: Buffer.from('{"n":1}'),
    bufferedStart: Buffer.from('{"n":1}'),
    replayable: true,
  };
  const ANSWER: FixedAnswer = {
    status: 201,
    headers: { 'X-Of-Target': 'b', 'shoredoor-outcome': 'verdict=ran, unspent=1' },
    body: Buffer.from('done'),
  };

  const cleanup = new Cleanup();
  let arrived: ArrivedRequest[];
  let head: AnswerHead | undefined;

  afterEach(() => cleanup.run());

  /** Relays the response of one attempt at the test server to a caller. */
  async function relay(
    attempt: (
      origin: string,
      pools: ConnectionPools,
      response: ServerResponse,
      listener: AttemptListener,
    ) => void,
  ): Promise<ArrivedAnswer> {
    arrived = [];
    const pools = new ConnectionPools({ connections: 1 });
    cleanup.add(() => pools.destroy());
    const target = await startRecorder(cleanup, arrived, () => ANSWER);
    const listener: AttemptListener = {
      onHead: (answered) => {
        head = answered;
        return 'relay';
      },
      onEnd: () => undefined,
      onFailure: () => undefined,
    };
    const relaying = await startTarget(cleanup, (_message, response) => {
      attempt(target, pools, response, listener);
    });
    return post(relaying, '/', {}, Buffer.alloc(0));
  }

  it('go from an edge to a node with context and link token', async () => {
    const clock = new VirtualClock();
    const context = { ...FULL_CONTEXT, deadlineAt: 1_234, waitUntil: 250 };
    const answer = await relay((origin, pools, response, listener) => {
      const options = { clock, pools, linkToken: 'link-token-0123456789' };
      const transport = new NodeTransport(options, context, MESSAGE, BODY, response);
      const endpoint: EndpointRecord = {
        id: 'node-1',
        incarnation: 1,
        service: 'ledger',
        zone: 'zone-a',
        origin,
        state: 'ready',
      };
      transport.send(endpoint, { retries: 1, isRepeat: true }, listener);
    });
    const [request] = arrived;
    const traceParent = request!.headers[1]!;
    expect(traceParent).to.match(
      /^traceparent: 00-4f2a9c01d3e85b7746a0c1d2e3f40516-[0-9a-f]{16}-01$/,
    );
    expect(request).to.deep.equal({
      method: 'POST',
      path: '/v1/orders?dry=1',
      headers: [
        'X-Any: a',
        traceParent,
        'shoredoor-context: group=gold, kind=place-order, importance=2, deadline=1234, retries=1,' +
          ' service=ledger, wait=250',
        'shoredoor-link: link-token-0123456789',
      ],
      body: Buffer.from('{"n":1}'),
    });
    expect(head).to.deep.equal({ status: 201, outcome: { ...BASE_OUTCOME, unspentRetries: 1 } });
    expect(answer).to.deep.equal({
      status: 201,
      headers: ['X-Of-Target: b', 'shoredoor-request-id: 4f2a9c01d3e85b7746a0c1d2e3f40516'],
      body: Buffer.from('done'),
    });
  });

  it('go from a node to its target with the deadline, and back with the outcome', async () => {
    const answer = await relay((origin, pools, response, listener) => {
      const transport = new HttpTargetTransport(new VirtualClock(), pools.get(origin), {
        context: { ...FULL_CONTEXT, deadlineAt: 1_234.9 },
        spanId: SPAN_ID,
        message: MESSAGE,
        body: BODY,
        response,
        onAnnouncement: () => undefined,
        takeOutcome: () => FULL_OUTCOME,
      });
      transport.send(listener);
    });
    expect(arrived).to.deep.equal([
      {
        method: 'POST',
        path: '/v1/orders?dry=1',
        headers: [
          'X-Any: a',
          'traceparent: 00-4f2a9c01d3e85b7746a0c1d2e3f40516-00f067aa0ba902b7-01',
          'shoredoor-deadline-ms: 1234',
        ],
        body: Buffer.from('{"n":1}'),
      },
    ]);
    expect(answer).to.deep.equal({
      status: 201,
      headers: [
        'X-Of-Target: b',
        'shoredoor-outcome: verdict=may-have-run, unspent=3, refusal=overload, overloaded=1,' +
          ' in-flight=12, limit=300',
      ],
      body: Buffer.from('done'),
    });
  });
});
