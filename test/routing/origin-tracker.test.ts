import { expect } from 'chai';
import { SeededRandom } from '../../src/common/random.js';
import { OriginTracker } from '../../src/routing/origin-tracker.js';

/** Machines of each service: clients are on all of them alike. */
const UNEVEN_MACHINES = [
  { service: 'plans', machines: 31 },
  { service: 'ledger', machines: 22 },
  { service: 'archive', machines: 6 },
  { service: 'credit', machines: 4 },
];
const MACHINE_COUNT = 63;
const DRAWN_GATES = 300;

/** The service of the machine on which the next request of a client begins. */
function drawOrigin(random: SeededRandom): string {
  let machine = random.below(MACHINE_COUNT);
  for (const { service, machines } of UNEVEN_MACHINES) {
    if (machine < machines) return service;
    machine -= machines;
  }
  throw new Error('more machines drawn than there are');
}

const UNEVEN = new Map(UNEVEN_MACHINES.map(({ service, machines }) => [service, machines]));

const SERVICES = ['plans', 'ledger', 'archive', 'credit'];
const ALIKE = new Map(SERVICES.map((service) => [service, 4]));

function calls(
  tracker: OriginTracker,
  route: string,
  from: readonly string[],
  count: number,
): void {
  for (let index = 0; index < count; index += 1) {
    tracker.onCall(route, from[index % from.length]!);
  }
}

describe('the origins of calls', () => {
  it('tell routes that targets call from those that clients call', () => {
    const tracker = new OriginTracker(() => ALIKE);
    calls(tracker, 'credit-check', SERVICES, 100);
    calls(tracker, 'limit-read', ['archive'], 100);
    calls(tracker, 'archive-read', ['ledger', 'plans'], 100);
    expect(tracker.isNested('credit-check')).to.equal(false);
    expect(tracker.isNested('limit-read')).to.equal(true);
    expect(tracker.isNested('archive-read')).to.equal(true);
  });

  it('conclude nothing from a few calls, or where there is one service', () => {
    const tracker = new OriginTracker(() => ALIKE);
    calls(tracker, 'limit-read', ['archive'], 10);
    expect(tracker.isNested('limit-read')).to.equal(false);
    const alone = new OriginTracker(() => new Map([['archive', 4]]));
    calls(alone, 'limit-read', ['archive'], 100);
    expect(alone.isNested('limit-read')).to.equal(false);
  });

  it('are not mistaken where few machines hold a service, by the luck of the first calls', () => {
    let mistaken = 0;
    for (let seed = 1; seed <= DRAWN_GATES; seed += 1) {
      const random = new SeededRandom(seed);
      const tracker = new OriginTracker(() => UNEVEN);
      let isMistaken = false;
      for (let call = 0; call < 2_000; call += 1) {
        tracker.onCall('credit-check', drawOrigin(random));
        isMistaken ||= tracker.isNested('credit-check');
      }
      if (isMistaken) mistaken += 1;
    }
    expect(mistaken).to.equal(0);
  });

  it('follow a route that clients begin to use', () => {
    const tracker = new OriginTracker(() => ALIKE);
    calls(tracker, 'limit-read', ['archive'], 300);
    calls(tracker, 'limit-read', SERVICES, 2_000);
    expect(tracker.isNested('limit-read')).to.equal(false);
  });
});
