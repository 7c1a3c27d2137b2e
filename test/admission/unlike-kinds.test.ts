/** The expected duration of a call is the mean of its own kind, not the mean over all kinds. */
import { expect } from 'chai';
import type { AdmissionPermit } from '../../src/admission/admission-controller.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { oneSlotAdmission } from '../support/slot-gate.js';

const LONG_MS = 1_000;
const LONG_TIMEOUT_MS = 5_000;
/** Less than the duration of a long call. */
const SHORT_TIMEOUT_MS = 400;

describe('a gate whose usual calls take long', () => {
  function gate() {
    const clock = new VirtualClock();
    const controller = oneSlotAdmission(clock);
    let permit: AdmissionPermit | undefined;
    const events: string[] = [];
    const offer = (kind: string, timeoutMs: number): void => {
      const until = clock.now() + timeoutMs;
      controller.offer(
        { shareClass: 'g', priority: 0, kind, importance: 1, deadlineAt: until, waitUntil: until },
        {
          onAdmitted: (given) => {
            permit = given;
            events.push(kind);
          },
          onRefused: (reason) => events.push(`${kind} ${reason}`),
        },
      );
    };
    const finish = (): void => permit!.release('answered', 0);
    for (let call = 0; call < 20; call += 1) {
      offer('long', LONG_TIMEOUT_MS);
      clock.advance(LONG_MS);
      finish();
    }
    events.length = 0;
    offer('long', LONG_TIMEOUT_MS);
    return { clock, events, offer, finish };
  }

  it('lets a kind with a short limit wait for its slot', () => {
    const { clock, events, offer, finish } = gate();
    offer('short', SHORT_TIMEOUT_MS);
    clock.advance(SHORT_TIMEOUT_MS / 4);
    finish();
    expect(events).to.deep.equal(['long', 'short']);
  });

  it('refuses a call at once that can not finish in time, by what its own kind takes', () => {
    const { events, offer } = gate();
    offer('long', SHORT_TIMEOUT_MS);
    expect(events).to.deep.equal(['long', 'long deadline']);
  });
});
