import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { CommandLog } from '../../src/control/command-log.js';
import { QuarantineController } from '../../src/control/quarantine-controller.js';
import { ResourceStore } from '../../src/control/resource-store.js';
import type { Command } from '../../src/control/commands.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import type { QuarantineResource } from '../../src/policy/resource-schema.js';
import { CrashEvidence } from '../../src/quarantine/crash-evidence.js';

const MINUTE_MS = 60_000;
const CHECK_MS = 1_000;
const FINGERPRINT = '0123456789abcdef0123-01234567';

/** Log of a single replica that applies commands immediately while it has a quorum. */
class TestLog {
  hasQuorum = true;
  role: 'leader' | 'follower' = 'leader';

  constructor(private readonly store: ResourceStore) {}

  status() {
    return { role: this.role };
  }

  async propose(command: Command) {
    if (!this.hasQuorum) return { type: 'refused', refusal: { type: 'no-quorum' } };
    return { type: 'applied', result: this.store.apply(command) };
  }
}

describe('the keeper of quarantines', () => {
  let clock: VirtualClock;
  let store: ResourceStore;
  let log: TestLog;
  let evidence: CrashEvidence;
  let controller: QuarantineController;
  let crashes: number;

  beforeEach(() => {
    clock = new VirtualClock();
    store = new ResourceStore();
    log = new TestLog(store);
    evidence = new CrashEvidence(clock);
    crashes = 0;
    controller = new QuarantineController({
      store,
      log: log as unknown as CommandLog,
      evidence,
      wallClock: () => clock.now(),
      logger: SILENT_LOGGER,
    });
  });

  function crash(fingerprint: string): void {
    crashes += 1;
    const report = { instance: `i-${crashes}`, fingerprints: [fingerprint] };
    evidence.applyUpdate({ crashes: [report], acquitted: [] });
  }

  /** Advances the clock, then runs the checks and waits for their proposals. */
  async function advance(durationMs: number): Promise<void> {
    clock.advance(durationMs);
    for (let round = 0; round < 3; round += 1) {
      controller.check();
      for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
    }
  }

  function spec(name = FINGERPRINT): QuarantineResource['spec'] | undefined {
    const resource = store.get({ kind: 'Quarantine', name })?.resource;
    return resource?.kind === 'Quarantine' ? resource.spec : undefined;
  }

  async function quarantine(): Promise<void> {
    for (let each = 0; each < 3; each += 1) crash(FINGERPRINT);
    await advance(CHECK_MS);
  }

  it('writes a quarantine of ten minutes for a request under three crashes', async () => {
    crash(FINGERPRINT);
    crash(FINGERPRINT);
    await advance(CHECK_MS);
    expect(spec()).to.equal(undefined);
    crash(FINGERPRINT);
    await advance(CHECK_MS);
    expect(spec()).to.deep.equal({
      inForce: true,
      until: clock.now() + 10 * MINUTE_MS,
      terms: 1,
    });
  });

  it('writes it as soon as there is a quorum', async () => {
    log.hasQuorum = false;
    await quarantine();
    expect(spec()).to.equal(undefined);
    log.hasQuorum = true;
    await advance(MINUTE_MS);
    expect(spec()?.inForce).to.equal(true);
  });

  it('writes nothing where it does not lead', async () => {
    log.role = 'follower';
    await quarantine();
    expect(spec()).to.equal(undefined);
  });

  /**
   * Guards against renewing an ended quarantine without a new crash: the crashes that led to it are kept for an hour and must
   * not count as crashes on probation.
   */
  it('lets a request run again after its time, until one more crash under it', async () => {
    await quarantine();
    await advance(10 * MINUTE_MS);
    await advance(CHECK_MS);
    expect(spec()?.inForce, 'after its time').to.equal(false);
    crash(FINGERPRINT);
    await advance(CHECK_MS);
    expect(spec()?.inForce, 'after one more crash').to.equal(true);
    expect(spec()?.terms).to.equal(2);
  });

  it('keeps no more than its bound', async () => {
    for (let each = 0; each < 300; each += 1) {
      const name = `${String(each).padStart(20, '0')}-01234567`;
      for (let crashed = 0; crashed < 3; crashed += 1) crash(name);
      await advance(CHECK_MS);
    }
    expect(store.list()).to.have.length(256);
  });
});
