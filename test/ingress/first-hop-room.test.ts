import { expect } from 'chai';
import { FirstHopRoom, type RoomChange } from '../../src/ingress/first-hop-room.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';

const LOOKUPS = 'lookup';
const VIEWS = 'view';
const UPLOADS = 'upload';
const PRESSED = { service: 'quoter', pressure: 2 };

describe('room at the first hop', () => {
  let clock: VirtualClock;
  let room: FirstHopRoom;
  let changes: RoomChange[];

  beforeEach(() => {
    clock = new VirtualClock();
    changes = [];
    room = new FirstHopRoom(clock, new SeededRandom(5), (change) => changes.push(change));
  });

  /** Sends requests of all routes for a while; those that lead to the bottleneck are told it. @returns refused by route */
  function load(durationMs: number, told = true, clientWaitedMs = 0): Record<string, number> {
    const refused = { [LOOKUPS]: 0, [VIEWS]: 0, [UPLOADS]: 0 };
    for (let ms = 0; ms < durationMs; ms += 10) {
      clock.advance(10);
      for (const [route, importance] of [
        [LOOKUPS, 2],
        [VIEWS, 1],
        [UPLOADS, 1],
      ] as const) {
        if (room.admit({ route, importance, clientWaitedMs }) !== undefined) refused[route] += 1;
        else room.onAnswer(route, told && route !== UPLOADS ? PRESSED : undefined);
      }
    }
    return refused;
  }

  it('refuses the lowest rank of the routes that lead to the bottleneck, and no other', () => {
    const refused = load(1_000);
    expect(refused[VIEWS]).to.be.above(60);
    expect(refused[LOOKUPS]).to.equal(0);
    expect(refused[UPLOADS]).to.equal(0);
  });

  it('admits everything after a restart, until answers tell otherwise', () => {
    expect(room.admit({ route: VIEWS, importance: 1, clientWaitedMs: 0 })).to.equal(undefined);
    expect([...room.admittedParts()]).to.deep.equal([]);
  });

  it('neither stops nor floods at once when no answer arrives any more', () => {
    load(1_000);
    const admitted = (): number => {
      let count = 0;
      for (let each = 0; each < 100; each += 1) {
        if (room.admit({ route: VIEWS, importance: 1, clientWaitedMs: 0 }) === undefined)
          count += 1;
      }
      return count;
    };
    clock.advance(1_000);
    expect(admitted()).to.be.below(20);
    clock.advance(20_000);
    expect(admitted()).to.equal(100);
  });

  it('prefers requests that were refused before', () => {
    load(500);
    const mild = { service: 'quoter', pressure: 1.25 };
    for (let each = 0; each < 200; each += 1) {
      clock.advance(10);
      room.admit({ route: VIEWS, importance: 1, clientWaitedMs: 0 });
      room.admit({ route: LOOKUPS, importance: 2, clientWaitedMs: 0 });
      room.onAnswer(VIEWS, mild);
    }
    const refusals = (clientWaitedMs: number): number => {
      let refused = 0;
      for (let each = 0; each < 100; each += 1) {
        if (room.admit({ route: VIEWS, importance: 1, clientWaitedMs }) !== undefined) refused += 1;
      }
      return refused;
    };
    expect(refusals(400)).to.be.below(refusals(0) / 2);
  });

  it('reports when it begins to refuse and when it no longer does, once each', () => {
    load(2_000);
    load(4_000, false);
    expect(changes.map(({ service, isRefusing }) => [service, isRefusing])).to.deep.equal([
      ['quoter', true],
      ['quoter', false],
    ]);
  });
});
