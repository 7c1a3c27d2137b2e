import { expect } from 'chai';
import {
  allowedRepeats,
  decideAcceptedRepeats,
  AcceptedRepeats,
  type GateState,
} from '../../src/retry/accepted-repeats.js';

const BOUND = { ratio: 0.2, slack: 40, windowMs: 10_000 };
const NOTHING = { firsts: 0, repeats: 0 };

describe('the repeats that a gate lets through', () => {
  /** 1,000 first arrivals of calls made by targets: 150 repeats allowed by the ratio, and 20 by the slack. */
  const BUSY: GateState = {
    all: { firsts: 1_000, repeats: 0 },
    fromClients: NOTHING,
    trackedMs: BOUND.windowMs,
    gates: 1,
    hasDownstreamCalls: false,
    isDownstreamFull: false,
  };
  const busyWith = (repeats: number): Partial<GateState> => ({ all: { firsts: 1_000, repeats } });

  const ALLOWED_CASES: readonly {
    readonly name: string;
    readonly state: Partial<GateState>;
    readonly allowed: number;
  }[] = [
    { name: 'three quarters of the ratio and half of the slack', state: {}, allowed: 170 },
    { name: 'the slack shared by all gates', state: { gates: 4 }, allowed: 155 },
    { name: 'the whole slack where no gate is known', state: { gates: 0 }, allowed: 170 },
    { name: 'half of the slack after half a window', state: { trackedMs: 5_000 }, allowed: 160 },
    { name: 'no more slack after many windows', state: { trackedMs: 90_000 }, allowed: 170 },
    {
      name: 'no slack where the target makes calls',
      state: { hasDownstreamCalls: true },
      allowed: 150,
    },
    { name: 'nothing at the start', state: { all: NOTHING, trackedMs: 0 }, allowed: 0 },
  ];
  for (const { name, state, allowed } of ALLOWED_CASES) {
    it(`are ${name}: ${allowed}`, () => {
      expect(allowedRepeats({ ...BUSY, ...state }, BOUND)).to.be.closeTo(allowed, 1e-9);
    });
  }

  const ROOM_CASES: readonly {
    readonly name: string;
    readonly fromClient?: boolean;
    readonly state: Partial<GateState>;
    readonly room: AcceptedRepeats;
  }[] = [
    { name: 'nothing used', state: {}, room: AcceptedRepeats.Runs },
    { name: 'half used with this one', state: busyWith(84), room: AcceptedRepeats.Runs },
    { name: 'more than half used with this one', state: busyWith(85), room: AcceptedRepeats.Calls },
    { name: 'the last one', state: busyWith(168.9), room: AcceptedRepeats.Calls },
    { name: 'all used', state: busyWith(169.1), room: AcceptedRepeats.None },
    { name: 'full below', state: { isDownstreamFull: true }, room: AcceptedRepeats.None },
    {
      name: 'a call of a target, the rest reserved for clients',
      state: { ...busyWith(85), fromClients: { firsts: 500, repeats: 0 } },
      room: AcceptedRepeats.None,
    },
    {
      name: 'a request of a client, the rest reserved for them',
      fromClient: true,
      state: { ...busyWith(85), fromClients: { firsts: 500, repeats: 0 } },
      room: AcceptedRepeats.Calls,
    },
    {
      name: 'a call of a target, clients having had their part',
      state: { ...busyWith(85), fromClients: { firsts: 500, repeats: 85 } },
      room: AcceptedRepeats.Calls,
    },
    {
      name: 'a call of a target, few requests of clients',
      state: { ...busyWith(85), fromClients: { firsts: 10, repeats: 0 } },
      room: AcceptedRepeats.Calls,
    },
  ];
  for (const { name, fromClient = false, state, room } of ROOM_CASES) {
    it(`${name}: ${AcceptedRepeats[room]}`, () => {
      expect(decideAcceptedRepeats(fromClient, { ...BUSY, ...state }, BOUND)).to.equal(room);
    });
  }
});
