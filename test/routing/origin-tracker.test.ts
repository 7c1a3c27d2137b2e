import { expect } from 'chai';
import { SeededRandom } from '../../src/common/random.js';
import { OriginTracker } from '../../src/routing/origin-tracker.js';

/** Clients run on all of these machines and send equally many requests. */
const UNEVEN_MACHINES = [
  { service: 'plans', machines: 31 },
  { service: 'ledger', machines: 22 },
  { service: 'archive', machines: 6 },
  { service: 'credit', machines: 4 },
];
const MACHINE_COUNT = 63;
const DRAWN_GATES = 300;

/** Draws the service of the machine from which a client sends its next request. */
function drawOrigin(random: SeededRandom): string {
  let machine = random.nextInt(MACHINE_COUNT);
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

/** A deployment in which each machine calls only {@link SUBSET} of the gates of a service. */
const LARGE_MACHINES = [
  { service: 'search', machines: 95 },
  { service: 'registry', machines: 68 },
  { service: 'bundles', machines: 19 },
  { service: 'ranking', machines: 13 },
];
const LARGE = new Map(LARGE_MACHINES.map(({ service, machines }) => [service, machines]));
const SUBSET = 8;
const LARGE_CALLS = 400;

/** Draws the machines that have one of `gates` gates in their subsets. Returns the service of each of them. */
function drawCallers(random: SeededRandom, gates: number): string[] {
  return LARGE_MACHINES.flatMap(({ service, machines }) =>
    Array.from({ length: machines }, () => service).filter(() => random.next() < SUBSET / gates),
  );
}

/**
 * Guards against classifying requests of clients as nested at a gate with few callers, where by chance no machine of a
 * small service may be among them.
 */
describe('the origins of calls at one gate of many', () => {
  it('are not mistaken, though few machines call there', () => {
    let mistaken = 0;
    for (let seed = 1; seed <= DRAWN_GATES; seed += 1) {
      const random = new SeededRandom(seed);
      const callers = drawCallers(random, 95);
      const tracker = new OriginTracker(
        () => LARGE,
        () => SUBSET / 95,
      );
      for (let call = 0; call < LARGE_CALLS; call += 1) {
        tracker.onCall('search', callers[random.nextInt(callers.length)]!);
      }
      if (tracker.isNested('search')) mistaken += 1;
    }
    expect(mistaken).to.equal(0);
  });

  it('still tell the calls of targets', () => {
    const tracker = new OriginTracker(
      () => LARGE,
      () => SUBSET / 68,
    );
    calls(tracker, 'provenance', ['search'], 60);
    expect(tracker.isNested('provenance')).to.equal(true);
  });
});

describe('the presumed origins of calls', () => {
  it('are targets after the first calls, all from one service', () => {
    const tracker = new OriginTracker(
      () => LARGE,
      () => SUBSET / 68,
    );
    calls(tracker, 'provenance', ['search'], 6);
    expect(tracker.isPresumedNested('provenance')).to.equal(true);
    expect(tracker.isNested('provenance')).to.equal(false);
  });

  it('are clients as soon as calls come from most services', () => {
    const tracker = new OriginTracker(
      () => LARGE,
      () => SUBSET / 68,
    );
    calls(tracker, 'register', ['search'], 6);
    calls(tracker, 'register', ['registry', 'bundles'], 2);
    expect(tracker.isPresumedNested('register')).to.equal(false);
  });
});
