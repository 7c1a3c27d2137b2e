import { expect } from 'chai';
import fc from 'fast-check';
import { MemberTable } from '../../src/control/member-table.js';
import type { Heartbeat } from '../../src/sync/heartbeat.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';

const LEASE_MS = 3_500;
const HEARTBEAT_MS = 1_000;
const HEARTBEATS = 4;
/** Maximum network delay of a heartbeat. */
const MAX_DELAY_MS = 9_000;
const ID = 'machine-1';

function heartbeat(incarnation: number, service = 'ledger'): Heartbeat {
  return {
    id: ID,
    role: 'node',
    incarnation,
    zone: 'a',
    service,
    origin: `http://127.0.0.1:${7_000 + incarnation}`,
    state: 'ready',
    appliedRevision: 0,
    claimEpoch: 0,
  };
}

describe('the members that a control replica hears from', () => {
  function table() {
    const clock = new VirtualClock();
    const members = new MemberTable(clock.now(), LEASE_MS);
    const receive = (beat: Heartbeat) => members.onHeartbeat(beat, clock.now(), 1, true);
    const listed = (): number | undefined => members.endpointList()[0]?.incarnation;
    return { clock, members, receive, listed };
  }

  it('are not replaced by late heartbeats of an incarnation that has crashed', () => {
    const delays = fc.array(fc.integer({ min: 0, max: MAX_DELAY_MS }), {
      minLength: 3 * HEARTBEATS,
      maxLength: 3 * HEARTBEATS,
    });
    const services = fc.constantFrom(
      ['ledger', 'ledger', 'ledger'],
      ['ledger', 'archive', 'ledger'],
    );
    fc.assert(
      fc.property(delays, services, fc.integer({ min: 2, max: 3 }), (delaysMs, names, count) => {
        const { clock, receive, listed } = table();
        let startsAt = 0;
        for (let each = 1; each <= count; each += 1) {
          const isNewest = each === count;
          const beats = isNewest ? (2 * MAX_DELAY_MS) / HEARTBEAT_MS : HEARTBEATS;
          for (let beat = 0; beat < beats; beat += 1) {
            const delayMs = isNewest ? 0 : delaysMs[(each - 1) * HEARTBEATS + beat]!;
            const name = names[each - 1]!;
            clock.schedule(startsAt + beat * HEARTBEAT_MS + delayMs, () => {
              receive(heartbeat(each, name));
            });
          }
          if (!isNewest) startsAt += HEARTBEATS * HEARTBEAT_MS;
        }
        clock.advance(startsAt + 1);
        for (let checked = 0; checked < 2 * MAX_DELAY_MS - HEARTBEAT_MS; checked += 100) {
          expect(listed()).to.equal(count);
          clock.advance(100);
        }
      }),
      { numRuns: 200, seed: 6 },
    );
  });

  it('do not come back by one late heartbeat, or by several that arrive together', () => {
    const { clock, members, receive, listed } = table();
    receive(heartbeat(2));
    clock.advance(LEASE_MS);
    members.expire(clock.now());
    for (let beat = 0; beat < HEARTBEATS; beat += 1) receive(heartbeat(1));
    expect(listed()).to.equal(undefined);
  });

  it('are taken in though a clock has stepped back before their restart', () => {
    const { clock, receive, listed } = table();
    receive(heartbeat(2));
    clock.advance(LEASE_MS);
    expect(receive(heartbeat(1)).type).to.equal('ok');
    clock.advance(HEARTBEAT_MS);
    receive(heartbeat(1));
    expect(listed()).to.equal(1);
  });

  it('are told at once while a newer incarnation is heard', () => {
    const { receive } = table();
    receive(heartbeat(2));
    expect(receive(heartbeat(1)).type).to.equal('superseded');
  });
});
