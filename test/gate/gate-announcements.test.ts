import { expect } from 'chai';
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { CallContext } from '../../src/call/call-context.js';
import type { HeadDecision } from '../../src/call/transport.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { GateTransport } from '../../src/gate/gate-transport.js';
import { ResponseTimeAverage } from '../../src/http/response-time-average.js';
import type { TargetAnnouncement } from '../../src/http/target-announcement.js';
import type { TargetLoad } from '../../src/http/target-load.js';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { IncomingLinkCall } from '../../src/link/incoming-link-call.js';

const { requestId, rateLimit, leaving, notExecuted } = DEFAULT_TARGET_HEADERS;
const REQUEST_ID = 'q-1';
const SENT_AT = 700;

const CONTEXT: CallContext = {
  requestId: REQUEST_ID,
  group: 'clients',
  kind: 'read',
  importance: 1,
  deadlineAt: 5_000,
  retries: 0,
};

/** What a gate learns from one answer. */
interface Learned {
  readonly announcements: [incarnation: string, sentAt: number, announcement: TargetAnnouncement][];
  readonly loads: [incarnation: string, load: TargetLoad][];
}

function announcedBy(
  status: number,
  headers: IncomingHttpHeaders,
  decision: HeadDecision = 'discard',
): Learned['announcements'] {
  return learnedFrom(status, headers, decision).announcements;
}

/** Sends a call to a target that answers with this head. @returns what the gate learns from it */
function learnedFrom(
  status: number,
  headers: IncomingHttpHeaders,
  decision: HeadDecision = 'discard',
): Learned {
  const clock = new VirtualClock();
  clock.advance(SENT_AT);
  const learned: Learned = { announcements: [], loads: [] };
  const controller = { rawHeaders: null } as unknown as Dispatcher.DispatchController;
  const dispatch = (_options: unknown, handler: Dispatcher.DispatchHandler): boolean => {
    handler.onRequestStart?.(controller, undefined);
    clock.advance(50);
    handler.onResponseStart?.(controller, status, headers, '');
    return true;
  };
  const transport = new GateTransport(
    {
      clock,
      names: DEFAULT_TARGET_HEADERS,
      target: () => ({
        dispatcher: { dispatch } as unknown as Dispatcher,
        instance: 'i-1',
        incarnation: 'i-1@7',
        isResetting: () => false,
        responseTimes: new ResponseTimeAverage(),
        onUnanswered: () => undefined,
      }),
      onAnnouncement: (...each) => learned.announcements.push(each),
      onLoad: (...each) => learned.loads.push(each),
      allowsUnframed: false,
    },
    CONTEXT,
    incomingCall(),
  );
  transport.send({
    onHead: () => decision,
    onEnd: () => undefined,
    onFailure: () => undefined,
  });
  return learned;
}

function incomingCall(): IncomingLinkCall {
  const link = { send: () => undefined, sendLater: () => undefined, release: () => true };
  const context = { ...CONTEXT, service: 'ledger', deadlineMs: 1, waitMs: 1, objectiveMs: 1 };
  const frame = { type: 'call', id: 1, method: 'GET', path: '/', headers: [], body: null, context };
  return new IncomingLinkCall(frame as never, link);
}

const LIMITED = { [rateLimit]: '5', 'content-length': '0' };
const ANNOUNCEMENT: TargetAnnouncement = {
  rateLimit: { type: 'limited', perSecond: 5 },
  isLeaving: false,
};

describe('what a gate learns from the answers of its target', () => {
  const own = { ...LIMITED, [requestId]: REQUEST_ID };

  for (const status of [200, 404, 500, 503]) {
    it(`is in an answer with status ${status}`, () => {
      expect(announcedBy(status, own)).to.deep.equal([['i-1@7', SENT_AT, ANNOUNCEMENT]]);
    });
  }

  it('is the load that the target reports', () => {
    const { loads } = learnedFrom(200, { ...own, [DEFAULT_TARGET_HEADERS.load]: '5,2,40,160' });
    const load = { running: 5, waiting: 2, slots: 40, slowdown: 1.6 };
    expect(loads).to.deep.equal([['i-1@7', load]]);
    expect(learnedFrom(200, own).loads).to.deep.equal([]);
  });

  it('is in a rejection', () => {
    const rejection = { ...LIMITED, [notExecuted]: '1', [leaving]: '1' };
    const announcement = { ...ANNOUNCEMENT, isLeaving: true };
    expect(announcedBy(503, rejection)).to.deep.equal([['i-1@7', SENT_AT, announcement]]);
  });

  it('is not in the answer of another instance, to another request, or before the answer', () => {
    expect(announcedBy(421, own)).to.deep.equal([]);
    expect(announcedBy(200, { ...LIMITED, [requestId]: 'q-2' })).to.deep.equal([]);
    expect(announcedBy(200, LIMITED)).to.deep.equal([]);
    expect(announcedBy(103, own)).to.deep.equal([]);
  });
});
