/**
 * Pins the messages between nodes about claims of idempotency keys (claim-messages.txt): path, headers,
 * statuses and the bytes of each message and reply, in both directions. Nodes of two versions exchange
 * them during a rolling update, so no field, type, mode or phase may be renamed.
 */
import { expect } from 'chai';
import { encodeMessage } from '../../src/common/message-codec.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type {
  ClaimMessage,
  ClaimRecord,
  ClaimReply,
  ClaimTransport,
} from '../../src/dedup/claim-messages.js';
import { ClaimReplica } from '../../src/dedup/claim-replica.js';
import type { ClaimView } from '../../src/dedup/claim-view.js';
import { handleClaimMessage, HttpClaimTransport } from '../../src/http/claim-transport.js';
import { ConnectionPools } from '../../src/http/connection-pools.js';
import { Cleanup, startTarget } from '../support/processes.js';
import { expectGolden, goldenBytes, plainText, readGoldenFile } from './golden-file.js';
import { post, startRecorder, type ArrivedRequest } from './wire-exchange.js';

interface MessagePin<Message> {
  readonly name: string;
  readonly message: Message;
}

const LINK_TOKEN = 'link-token-0123456789';
const KEY = 'ledger\ngold\nPOST\n/v1/orders\nkey-1';
const CALL_ID = '0123456789abcdef';

const RECORDS: readonly ClaimRecord[] = [
  { key: KEY, callId: CALL_ID, phase: 'claimed', remainingMs: 600_000 },
  { key: 'k', callId: 'c', phase: 'answered', remainingMs: 0.5 },
];

/** Every message type; a new one fails to compile until it is pinned here. */
const MESSAGES: Record<ClaimMessage['type'], readonly MessagePin<ClaimMessage>[]> = {
  claim: [{ name: 'claim', message: { type: 'claim', epoch: 3, key: KEY, callId: CALL_ID } }],
  release: [{ name: 'release', message: { type: 'release', key: KEY, callId: CALL_ID } }],
  answered: [{ name: 'answered', message: { type: 'answered', key: KEY, callId: CALL_ID } }],
  pull: [
    {
      name: 'pull after a restart',
      message: { type: 'pull', mode: 'restart', epoch: 3, memberId: 'node-1', incarnation: 5 },
    },
    {
      name: 'pull in a transition',
      message: { type: 'pull', mode: 'transition', epoch: 3, memberId: 'node-1', incarnation: 5 },
    },
  ],
  handover: [
    {
      name: 'handover',
      message: { type: 'handover', epoch: 3, memberId: 'node-1', records: RECORDS },
    },
    {
      name: 'handover without claims',
      message: { type: 'handover', epoch: 3, memberId: 'node-1', records: [] },
    },
  ],
};

/** Every reply type; a new one fails to compile until it is pinned here. */
const REPLIES: Record<ClaimReply['type'], readonly MessagePin<ClaimReply>[]> = {
  granted: [
    {
      name: 'granted',
      message: {
        type: 'granted',
        memberId: 'node-1',
        incarnation: 1_764_700_000_123,
        known: [{ memberId: 'node-2', incarnation: 6 }],
      },
    },
    {
      name: 'granted, no other process known',
      message: { type: 'granted', memberId: 'node-1', incarnation: 5, known: [] },
    },
  ],
  held: [
    { name: 'held, claimed', message: { type: 'held', phase: 'claimed' } },
    { name: 'held, answered', message: { type: 'held', phase: 'answered' } },
  ],
  unavailable: [{ name: 'unavailable', message: { type: 'unavailable' } }],
  records: [
    {
      name: 'records',
      message: { type: 'records', records: RECORDS, missing: ['node-2'], handedOver: ['node-3'] },
    },
    {
      name: 'records that may lack any',
      message: { type: 'records', records: [], missing: undefined, handedOver: [] },
    },
  ],
  done: [{ name: 'done', message: { type: 'done' } }],
};

const MESSAGE_PINS = Object.values(MESSAGES).flat();
const REPLY_PINS = Object.values(REPLIES).flat();

describe('golden messages about claims', () => {
  const golden = readGoldenFile('claim-messages.txt');
  const cleanup = new Cleanup();

  afterEach(() => cleanup.run());

  it('are what the messages are encoded to', () => {
    const pins = [...MESSAGE_PINS, ...REPLY_PINS];
    expectGolden(
      golden,
      pins.map(({ name, message }) => ({ name, bytes: encodeMessage(message) })),
    );
  });

  it('are what a node sends, and what it hears', async () => {
    const arrived: ArrivedRequest[] = [];
    let status = 200;
    let reply = REPLY_PINS[0]!;
    const origin = await startRecorder(cleanup, arrived, () => ({
      status,
      body: goldenBytes(golden, reply.name),
    }));
    const pools = new ConnectionPools({ connections: 1 });
    cleanup.add(() => pools.destroy());
    const transport = new HttpClaimTransport({
      pools,
      linkToken: LINK_TOKEN,
      getOrigin: () => origin,
    });
    const ask = (message: ClaimMessage): Promise<ClaimReply | undefined> =>
      new Promise((resolve) => transport.request('node-2', message, resolve));

    for (const { name, message } of MESSAGE_PINS) {
      await ask(message);
      expect(arrived.pop(), name).to.deep.equal({
        method: 'POST',
        path: '/',
        headers: [
          'shoredoor-link: link-token-0123456789',
          'shoredoor-message: claim',
          'content-type: application/msgpack',
        ],
        body: goldenBytes(golden, name),
      });
    }
    for (const each of REPLY_PINS) {
      reply = each;
      expect(await ask(MESSAGE_PINS[0]!.message), each.name).to.deep.equal(each.message);
    }
    status = 503;
    expect(await ask(MESSAGE_PINS[0]!.message)).to.equal(undefined);
  });

  it('are what a node hears, and what it answers', async () => {
    const heard: ClaimMessage[] = [];
    let reply = REPLY_PINS[0]!;
    const origin = await startTarget(cleanup, (message, response) => {
      void handleClaimMessage(message, response, (received) => {
        heard.push(received);
        return reply.message;
      });
    });
    const send = (bytes: Buffer): ReturnType<typeof post> => post(origin, '/', {}, bytes);

    for (const { name, message } of MESSAGE_PINS) {
      await send(goldenBytes(golden, name));
      expect(heard.pop(), name).to.deep.equal(message);
    }
    for (const each of REPLY_PINS) {
      reply = each;
      const answer = await send(goldenBytes(golden, 'claim'));
      expect(answer, each.name).to.deep.equal({
        status: 200,
        headers: ['Content-Type: application/msgpack'],
        body: goldenBytes(golden, each.name),
      });
    }
    const cutOff = await send(Buffer.from('de0002a2', 'hex'));
    expect(cutOff).to.deep.equal({ status: 400, headers: [], body: Buffer.alloc(0) });
  });
});

describe('messages of running keepers of claims', () => {
  const VIEW: ClaimView = {
    kind: 'ClaimView',
    name: 'ledger',
    spec: {
      epoch: 1,
      members: [
        { id: 'node-1', zone: 'zone-a', incarnation: 5 },
        { id: 'node-2', zone: 'zone-b', incarnation: 6 },
      ],
      previousMembers: [],
    },
  };

  it('have the golden fields in the golden order', () => {
    const texts: string[] = [];
    const keep = (message: ClaimMessage | ClaimReply): void => {
      texts.push(plainText(encodeMessage(message)));
    };
    const transport: ClaimTransport = {
      request: (_memberId, message, onReply) => {
        keep(message);
        onReply(undefined);
      },
    };
    const options = { clock: new VirtualClock(), transport, silentForMs: () => 0 };
    const keeper = new ClaimReplica({ ...options, selfId: 'node-1', incarnation: 5 });
    keep(keeper.handle({ type: 'claim', epoch: 1, key: 'k', callId: 'c1' }));
    keeper.setView(VIEW);
    const pull = { type: 'pull', mode: 'restart', epoch: 1, memberId: 'node-2' } as const;
    keeper.handle({ ...pull, incarnation: 6 });
    keep(keeper.handle({ type: 'claim', epoch: 1, key: 'k', callId: 'c1' }));
    keep(keeper.handle({ type: 'claim', epoch: 1, key: 'k', callId: 'c2' }));
    keep(keeper.handle({ type: 'answered', key: 'k', callId: 'c1' }));
    keep(keeper.handle({ type: 'claim', epoch: 1, key: 'k', callId: 'c2' }));
    keep(keeper.handle({ ...pull, incarnation: 7 }));
    keeper.handOver(() => undefined);
    const restarted = new ClaimReplica({ ...options, selfId: 'node-2', incarnation: 8 });
    restarted.setView(VIEW);
    keeper.stop();
    restarted.stop();

    const record = '{"key":"k","callId":"c1","phase":"answered","remainingMs":600000}';
    expect(texts).to.deep.equal([
      '{"type":"unavailable"}',
      '{"type":"granted","memberId":"node-1","incarnation":5,"known":[{"memberId":"node-2","incarnation":6}]}',
      '{"type":"held","phase":"claimed"}',
      '{"type":"done"}',
      '{"type":"held","phase":"answered"}',
      `{"type":"records","records":[${record}],"missing":[],"handedOver":[]}`,
      `{"type":"handover","epoch":1,"memberId":"node-1","records":[${record}]}`,
      '{"type":"pull","mode":"restart","epoch":1,"memberId":"node-2","incarnation":8}',
    ]);
  });
});
