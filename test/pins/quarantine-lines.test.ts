/** Pins the exact log lines of control about quarantined requests, in virtual time. */
import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { CommandLog } from '../../src/control/command-log.js';
import { QuarantineController } from '../../src/control/quarantine-controller.js';
import { ResourceStore } from '../../src/control/resource-store.js';
import type { Command } from '../../src/control/commands.js';
import { CrashEvidence } from '../../src/quarantine/crash-evidence.js';
import { CapturedLines } from '../support/captured-lines.js';

const INFO = 30;
const WARN = 40;
const TEN_MINUTES_MS = 600_000;
/** Exceeds the time for which control waits for gates to acquit a suspect. */
const ACQUITTAL_WAIT_MS = 1_000;
const FINGERPRINT = '0123456789abcdef0123-01234567';
/** Maximum number of quarantines in the store. */
const MAX_QUARANTINES = 256;

describe('the log lines about quarantines', () => {
  let clock: VirtualClock;
  let captured: CapturedLines;
  let keeper: QuarantineController;
  let evidence: CrashEvidence;
  let hasQuorum: boolean;
  let crashes: number;

  beforeEach(() => {
    clock = new VirtualClock();
    captured = new CapturedLines('control', 'pinned-quarantine');
    evidence = new CrashEvidence(clock);
    hasQuorum = true;
    crashes = 0;
    const store = new ResourceStore();
    const propose = (command: Command) =>
      Promise.resolve(
        hasQuorum
          ? { type: 'applied', result: store.apply(command) }
          : { type: 'refused', refusal: { type: 'no-quorum' } },
      );
    const log = { status: () => ({ role: 'leader' }), propose } as unknown as CommandLog;
    const logger = captured.logger.part('quarantine');
    keeper = new QuarantineController({
      store,
      log,
      evidence,
      wallClock: () => clock.now(),
      logger,
    });
  });

  afterEach(() => captured.end());

  async function crashUnder(fingerprint: string, times: number): Promise<void> {
    for (let each = 0; each < times; each += 1) {
      crashes += 1;
      const report = { instance: `i-${crashes}`, fingerprints: [fingerprint] };
      evidence.applyUpdate({ crashes: [report], acquitted: [] });
    }
    await check();
  }

  /** Lets the acquittal wait pass, then checks the evidence several times as the program does, awaiting writes. */
  async function check(): Promise<void> {
    clock.advance(ACQUITTAL_WAIT_MS);
    for (let look = 0; look < 3; look += 1) {
      keeper.check();
      for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
    }
  }

  it('tell of its beginning, its end, and the next one', async () => {
    await crashUnder(FINGERPRINT, 3);
    clock.advance(TEN_MINUTES_MS);
    await check();
    await crashUnder(FINGERPRINT, 1);
    expect(captured.lines).to.deep.equal([
      {
        level: WARN,
        msg: 'quarantine: Quarantined a request that crashes targets.',
        fingerprint: FINGERPRINT,
        crashes: 3,
      },
      {
        level: INFO,
        msg: 'quarantine: The quarantine of a request has ended.',
        fingerprint: FINGERPRINT,
        inForce: true,
        until: 601_000,
        terms: 1,
      },
      {
        level: WARN,
        msg: 'quarantine: Quarantined a request again after another crash.',
        fingerprint: FINGERPRINT,
        terms: 2,
      },
    ]);
  });

  it('tell of one that was not written', async () => {
    hasQuorum = false;
    await crashUnder(FINGERPRINT, 3);
    expect(captured.lines[1]).to.deep.equal({
      level: WARN,
      msg: 'quarantine: Could not write a quarantine; retrying.',
      fingerprint: FINGERPRINT,
      cause: 'no-quorum',
    });
  });

  it('tell of one that has no place', async () => {
    for (let each = 0; each < MAX_QUARANTINES; each += 1) {
      await crashUnder(`${String(each).padStart(20, '0')}-01234567`, 3);
    }
    await crashUnder(FINGERPRINT, 3);
    expect(captured.lines.at(-1)).to.deep.equal({
      level: WARN,
      msg: 'quarantine: A request crashes targets, but the limit of quarantined requests is reached.',
      fingerprint: FINGERPRINT,
    });
  });
});
