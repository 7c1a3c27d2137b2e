import { expect } from 'chai';
import {
  AdmissionController,
  type AdmissionPermit,
} from '../../src/admission/admission-controller.js';
import { FixedLimiter } from '../../src/admission/fixed-limiter.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { TargetRateLimiter } from '../../src/admission/target-rate-limiter.js';
import { GATE_SHARING, GateShareClass } from '../../src/gate/gate-policy.js';
import type { Importance } from '../../src/policy/importance.js';

/** Requests of groups with several ranks queue for a target whose only slot is in use. */
describe('the rank of a group where requests wait', () => {
  let clock: VirtualClock;
  let admission: AdmissionController;
  let admitted: string[];
  let refused: string[];
  let permit: AdmissionPermit | undefined;

  beforeEach(() => {
    clock = new VirtualClock();
    admitted = [];
    refused = [];
    admission = new AdmissionController({
      clock,
      random: new SeededRandom(1),
      limiter: new FixedLimiter({ initial: 1, min: 1, max: 1 }),
      rateLimiter: new TargetRateLimiter(clock),
      ...GATE_SHARING,
      queueWaitMs: () => 1_000,
    });
  });

  function offer(name: string, groupRank: number, importance: Importance): void {
    const request = {
      shareClass: GateShareClass.Clients,
      kind: 'k',
      priority: 0,
      deadlineAt: 5_000,
      waitUntil: 900,
    };
    admission.offer(
      { ...request, groupRank, importance },
      {
        onAdmitted: (given) => {
          admitted.push(name);
          permit = given;
        },
        onRefused: () => refused.push(name),
      },
    );
  }

  it('comes before the importance of the route, which decides within a rank', () => {
    offer('first', 0, 0);
    offer('later group, urgent', 2, 3);
    offer('urgent group, other', 0, 1);
    offer('middle group', 1, 3);
    offer('urgent group, urgent', 0, 3);
    for (let turn = 0; turn < 4; turn += 1) permit!.release('answered', 0);
    expect(admitted.slice(1)).to.deep.equal([
      'urgent group, urgent',
      'urgent group, other',
      'middle group',
      'later group, urgent',
    ]);
  });

  it('decides who is refused first when too many wait', () => {
    offer('first', 0, 0);
    for (let each = 0; each < 2_100; each += 1) offer('urgent group', 0, 0);
    const before = refused.length;
    offer('later group', 7, 3);
    expect(refused.slice(before)).to.deep.equal(['later group']);
  });

  it('costs nothing where it is a very large number', () => {
    offer('first', 0, 0);
    offer('last', 1_000_000_000, 3);
    permit!.release('answered', 0);
    expect(admitted).to.deep.equal(['first', 'last']);
  });
});
