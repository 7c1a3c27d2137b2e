import { expect } from 'chai';
import fc from 'fast-check';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { TargetLease, type TargetReport } from '../../src/membership/target-lease.js';

const SILENT_MS = 6_000;
const REPORT_GAP_MS = 1_500;

function report(instance: string, sequence: number, members: Partial<TargetReport> = {}) {
  const address = '127.0.0.1:8080';
  const base = { service: 'ledger', address, slots: 8, coldRemainingMs: 0 };
  return { ...base, state: 'ready' as const, instance, sequence, ...members };
}

/** What a health check finds: the start time is unknown, and any report of the target itself is newer. */
function probed(instance: string) {
  return report(instance, 0);
}

function lease() {
  const clock = new VirtualClock();
  const held = new TargetLease(clock, SILENT_MS, () => undefined);
  return { clock, held };
}

describe('the lease of a target', () => {
  it('ignores reports that come out of order', () => {
    const { held } = lease();
    held.onReport(report('i-1', 5, { state: 'leaving' }));
    held.onReport(report('i-1', 4));
    expect(held.isReady).to.equal(false);
  });

  it('does not let an incarnation that leaves come back', () => {
    const { held } = lease();
    held.onReport(report('i-1', 1, { state: 'leaving' }));
    held.onReport(report('i-1', 2));
    expect(held.isReady).to.equal(false);
    expect(held.isLeaving).to.equal(true);
  });

  it('is not taken by one late report of an earlier incarnation', () => {
    const { held } = lease();
    held.onReport(report('i-2', 1));
    held.onReport(report('i-1', 90));
    expect(held.current?.instance).to.equal('i-2');
    held.onReport(report('i-2', 2));
    held.onReport(report('i-1', 91));
    expect(held.current?.instance).to.equal('i-2');
  });

  it('is taken over by a newer incarnation that keeps reporting', () => {
    const { held, clock } = lease();
    held.onReport(report('i-1', 7));
    held.onReport(report('i-2', 1));
    clock.advance(REPORT_GAP_MS);
    held.onReport(report('i-2', 2));
    expect(held.current?.instance).to.equal('i-2');
    held.onReport(report('i-1', 8));
    held.onReport(report('i-1', 9));
    expect(held.current?.instance).to.equal('i-2');
  });

  it('is not taken by reports of an earlier incarnation that arrive together', () => {
    const { held } = lease();
    held.onReport(report('i-2', 1));
    for (const sequence of [90, 91, 92]) held.onReport(report('i-1', sequence));
    expect(held.current?.instance).to.equal('i-2');
  });

  it('is kept by an incarnation that has taken over while a call to the one before was turned away', () => {
    const { held } = lease();
    held.onReport(report('i-1', 5));
    held.onLeave({ instance: 'i-1' });
    held.onReport(report('i-2', 1));
    held.onMisdirected('i-1');
    expect(held.current?.instance).to.equal('i-2');
    expect(held.isReady).to.equal(true);
  });

  it('comes back to an incarnation that was silent while late reports of another one came', () => {
    const { held, clock } = lease();
    held.onReport(report('i-2', 1));
    clock.advance(SILENT_MS);
    held.onReport(report('i-1', 90));
    held.onMisdirected('i-1');
    held.onReport(report('i-2', 2));
    expect(held.current?.instance).to.equal('i-2');
  });

  it('ends with the newest incarnation, whatever order and delay the reports of two or three have', () => {
    const delays = fc.array(fc.integer({ min: 0, max: 8_000 }), { minLength: 12, maxLength: 12 });
    const property = fc.property(
      delays,
      fc.integer({ min: 2, max: 3 }),
      (delaysMs, incarnations) => {
        const { held, clock } = lease();
        let sent = 0;
        let newest = '';
        for (let each = 1; each <= incarnations; each += 1) {
          // Crashes without deregistering; the next incarnation follows.
          newest = `i-${each}`;
          const isLast = each === incarnations;
          for (let sequence = 1; sequence <= 4; sequence += 1) {
            const atMs = (sent += REPORT_GAP_MS);
            const late = report(newest, sequence);
            const delayMs = isLast ? 0 : delaysMs[(each - 1) * 4 + sequence]!;
            clock.schedule(atMs + delayMs, () => held.onReport(late));
          }
        }
        // Calls to an incarnation that no longer runs are misdirected.
        for (let atMs = 100; atMs < sent + 20_000; atMs += 100) {
          clock.schedule(atMs, () => {
            const current = held.current?.instance;
            const isNewestUp = atMs > sent - 3 * REPORT_GAP_MS;
            if (isNewestUp && current !== undefined && current !== newest)
              held.onMisdirected(current);
          });
        }
        for (let sequence = 5; sequence < 16; sequence += 1) {
          const last = report(newest, sequence);
          clock.schedule((sent += REPORT_GAP_MS), () => held.onReport(last));
        }
        clock.advance(sent + 1);
        expect(held.current?.instance).to.equal(newest);
      },
    );
    fc.assert(property, { numRuns: 300, seed: 3 });
  });

  it('is taken over at once after a leave, a silence, or an answer by another instance', () => {
    const ends: ((held: TargetLease, clock: VirtualClock) => void)[] = [
      (held) => held.onLeave({ instance: 'i-1' }),
      (_held, clock) => clock.advance(SILENT_MS),
      (held) => held.onMisdirected('i-1'),
    ];
    for (const end of ends) {
      const { held, clock } = lease();
      held.onReport(report('i-1', 1));
      end(held, clock);
      expect(held.isReady).to.equal(false);
      held.onReport(report('i-2', 1));
      expect(held.current?.instance).to.equal('i-2');
    }
  });

  it('tells the starts of a target apart that has the same id again', () => {
    const { held } = lease();
    held.onReport(report('i-1', 90, { born: 1_000 }));
    held.onReport(report('i-1', 1, { born: 2_000 }));
    expect(held.current).to.include({ born: 2_000, sequence: 1 });
    held.onReport(report('i-1', 91, { born: 1_000 }));
    expect(held.current).to.include({ born: 2_000, sequence: 1 });
  });

  it('comes back at once under the same id after it was found down, and not by a late report', () => {
    const { held } = lease();
    held.onReport(report('i-1', 4, { born: 1_000 }));
    held.onConnectionRefused('i-1@1000');
    held.onReport(report('i-1', 4, { born: 1_000 }));
    expect(held.current).to.equal(undefined);
    held.onReport(report('i-1', 1, { born: 2_000 }));
    expect(held.isReady).to.equal(true);
  });

  const vacancies: Readonly<Record<string, (held: TargetLease) => void>> = {
    'was found down': (held) => held.onConnectionRefused('i-2@2000'),
    'has crashed and another answers': (held) => held.onMisdirected('i-2@2000'),
    'has deregistered': (held) => held.onLeave({ instance: 'i-2', born: 2_000 }),
  };
  for (const [what, vacate] of Object.entries(vacancies)) {
    it(`is not taken by a late report of an earlier start after the holder ${what}`, () => {
      const { held, clock } = lease();
      held.onReport(report('i-2', 5, { born: 2_000 }));
      vacate(held);
      held.onReport(report('i-1', 90, { born: 1_000 }));
      expect(held.isReady).to.equal(false);
      held.onReport(report('i-3', 1, { born: 3_000 }));
      expect(held.current).to.include({ instance: 'i-3' });
      // A machine whose time of day was set back starts targets that seem older.
      held.onLeave({ instance: 'i-3', born: 3_000 });
      held.onReport(report('i-4', 1, { born: 500 }));
      clock.advance(REPORT_GAP_MS);
      held.onReport(report('i-4', 2, { born: 500 }));
      expect(held.current).to.include({ instance: 'i-4' });
    });
  }

  it('is not ended by the leave of an earlier start under the same id', () => {
    const { held } = lease();
    held.onReport(report('i-1', 1, { born: 2_000 }));
    held.onLeave({ instance: 'i-1', born: 1_000 });
    expect(held.isReady).to.equal(true);
    held.onLeave({ instance: 'i-1' });
    expect(held.isReady).to.equal(false);
  });

  // Guards against using a deregistered target after a restart of its sidecar, when only the leave names its start time.
  it('ends with a leave that names a start time which the health check did not', () => {
    const { held } = lease();
    held.onReport(probed('i-1'));
    held.onLeave({ instance: 'i-1', born: 1_000 });
    expect(held.isReady).to.equal(false);
    held.onReport(report('i-1', 40, { born: 1_000 }));
    expect(held.isReady).to.equal(false);
  });

  // Guards against using a deregistered target when the answer to a health check arrives after its leave.
  it('is not acquired by a health check that is answered after the leave', () => {
    for (const born of [undefined, 1_000]) {
      const { held } = lease();
      held.onLeave({ instance: 'i-1', born });
      held.onReport(probed('i-1'));
      expect(held.isReady).to.equal(false);
    }
  });

  // Guards against using a target again that refused connections while its health check was under way.
  it('is not acquired by a health check that is answered after connections were refused', () => {
    const { held } = lease();
    held.onReport(report('i-1', 4, { born: 1_000 }));
    held.onConnectionRefused('i-1@1000');
    held.onReport(probed('i-1'));
    expect(held.isReady).to.equal(false);
    held.onReport(report('i-1', 5, { born: 1_000 }));
    expect(held.isReady).to.equal(true);
  });

  // Guards against using a deregistered target after a late report, when its leave named no start time.
  it('is not acquired by one late report of a target that left without a start time', () => {
    for (const wasProbed of [false, true]) {
      const { held, clock } = lease();
      if (wasProbed) held.onReport(probed('i-1'));
      held.onLeave({ instance: 'i-1' });
      clock.advance(2_100);
      held.onReport(report('i-1', 8, { born: 1_000 }));
      expect(held.isReady).to.equal(false);
    }
  });

  it('is acquired by the second report of a later start after one left without a start time', () => {
    for (const wasProbed of [false, true]) {
      const { held, clock } = lease();
      if (wasProbed) held.onReport(probed('i-1'));
      held.onLeave({ instance: 'i-1' });
      held.onReport(report('i-1', 1, { born: 2_000 }));
      clock.advance(REPORT_GAP_MS);
      held.onReport(report('i-1', 2, { born: 2_000 }));
      expect(held.isReady).to.equal(true);
      held.onConnectionRefused('i-1@2000');
      held.onReport(report('i-1', 3, { born: 2_000 }));
      expect(held.isReady).to.equal(true);
    }
  });

  // Guards against using a deregistered target through late reports of an earlier start under the same id.
  it('ends with the leave of a later start under the same id, also before late reports of the earlier one', () => {
    for (const isLeaveFirst of [false, true]) {
      const { held } = lease();
      if (isLeaveFirst) held.onLeave({ instance: 'i-1', born: 2_000 });
      held.onReport(report('i-1', 90, { born: 1_000 }));
      held.onLeave({ instance: 'i-1', born: 2_000 });
      expect(held.isReady).to.equal(false);
      held.onReport(report('i-1', 91, { born: 1_000 }));
      expect(held.isReady).to.equal(false);
      held.onReport(report('i-1', 1, { born: 3_000 }));
      expect(held.isReady).to.equal(true);
    }
  });

  // Guards against a sound target without its lease until that of a departed one expires.
  it('comes back to a replaced incarnation that reports once the one that replaced it leaves', () => {
    const { held, clock } = lease();
    held.onReport(report('i-2', 1, { born: 2_000 }));
    held.onReport(report('i-1', 90, { born: 1_000 }));
    clock.advance(REPORT_GAP_MS);
    held.onReport(report('i-1', 91, { born: 1_000 }));
    expect(held.current).to.include({ instance: 'i-1' });
    held.onLeave({ instance: 'i-1', born: 1_000 });
    held.onReport(report('i-2', 2, { born: 2_000 }));
    expect(held.isReady).to.equal(true);
    expect(held.current).to.include({ instance: 'i-2' });
  });

  // Guards against using a deregistered target after one late report when another came before its leave.
  it('is not acquired by a report before and a report after a leave without a start time', () => {
    const { held, clock } = lease();
    held.onLeave({ instance: 'i-1' });
    held.onReport(report('i-1', 1, { born: 2_000 }));
    clock.advance(REPORT_GAP_MS);
    held.onLeave({ instance: 'i-1' });
    held.onReport(report('i-1', 2, { born: 2_000 }));
    expect(held.isReady).to.equal(false);
  });

  // Guards against using a deregistered target whose lease a late report of an earlier start had acquired.
  it('is not taken over by one late report after a leave without a start time ended another start', () => {
    const { held } = lease();
    held.onReport(report('i-1', 90, { born: 1_000 }));
    held.onLeave({ instance: 'i-1' });
    held.onReport(report('i-1', 8, { born: 2_000 }));
    expect(held.isReady).to.equal(false);
  });

  // Guards against a sound target that never gets its lease because late messages reset its candidacy.
  it('is acquired by the second report of a candidate in spite of messages of an earlier start', () => {
    const { held, clock } = lease();
    held.onReport(probed('i-1'));
    held.onLeave({ instance: 'i-1' });
    held.onReport(report('i-1', 1, { born: 2_000 }));
    held.onConnectionRefused('i-1');
    clock.advance(REPORT_GAP_MS / 2);
    held.onReport(report('i-1', 90, { born: 1_000 }));
    clock.advance(REPORT_GAP_MS / 2);
    held.onReport(report('i-1', 2, { born: 2_000 }));
    expect(held.isReady).to.equal(true);
  });

  it('comes back with the first report after the late leave of an earlier start under the same id', () => {
    const { held } = lease();
    held.onReport(probed('i-1'));
    held.onLeave({ instance: 'i-1', born: 1_000 });
    held.onReport(report('i-1', 1, { born: 2_000 }));
    expect(held.isReady).to.equal(true);
    expect(held.current).to.include({ born: 2_000 });
  });

  // Guards against ignoring failed calls that were sent before the start time of the holder became known.
  const failures: Readonly<Record<string, (held: TargetLease, name: string) => void>> = {
    'is refused': (held, name) => held.onConnectionRefused(name),
    'is answered by another instance': (held, name) => held.onMisdirected(name),
  };
  for (const [what, fail] of Object.entries(failures)) {
    it(`ends when a call ${what} that was sent before the first report`, () => {
      const { held } = lease();
      held.onReport(probed('i-1'));
      held.onReport(report('i-1', 7, { born: 1_000 }));
      fail(held, 'i-1');
      expect(held.isReady).to.equal(false);
      held.onReport(report('i-1', 7, { born: 1_000 }));
      expect(held.isReady).to.equal(false);
    });
  }

  it('learns the start of a target that a health check found', () => {
    const { held } = lease();
    held.onReport(report('i-1', 0));
    held.onReport(report('i-1', 7, { born: 1_000 }));
    expect(held.current).to.include({ born: 1_000, sequence: 7 });
    held.onReport(report('i-1', 1, { born: 2_000 }));
    expect(held.current).to.include({ born: 2_000 });
  });
});
