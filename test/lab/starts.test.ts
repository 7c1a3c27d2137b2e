/** Guards against processes that do not start or end by themselves in their first seconds, and against sites that then serve nothing. */
import { expect } from 'chai';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { runStarts } from '../../lab/soak/run-starts.js';
import { Check } from '../../lab/soak/soak-record.js';
import {
  CONTROL_REPLICAS,
  drawSmallStartPlan,
  drawStartPlan,
  LogOutput,
  SEEDS,
  type PlannedStart,
  type StartPlan,
} from '../../lab/soak/start-plan.js';

const DURATION_MS = 20_000;
const CALM_SEED = 1;
/** In both, a seed may be lost, and its restart does not bootstrap. */
const CI_SEEDS = [11, 25];
const CALM_START: Partial<PlannedStart> = {
  signals: [],
  addressHeldMs: 0,
  logOutput: LogOutput.File,
};
const PLANS_TO_DRAW = 50;

/** Runs a plan in a folder of its own, which is kept when a check fails. */
async function expectNoViolations(plan: StartPlan): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'shoredoor-starts-'));
  const { violations, checkCounts } = await runStarts(plan, folder);
  expect(violations, `logs: ${folder}`).to.deep.equal([]);
  expect(checkCounts.get(Check.NoOwnExit)).to.equal(plan.starts.length);
  expect(checkCounts.get(Check.Recovery)).to.equal(plan.services[0]!.machines);
  rmSync(folder, { recursive: true, force: true });
}

describe('a plan of starts', () => {
  it('is drawn from its seed alone', () => {
    expect(drawStartPlan(5, DURATION_MS)).to.deep.equal(drawStartPlan(5, DURATION_MS));
    expect(drawStartPlan(5, DURATION_MS)).not.to.deep.equal(drawStartPlan(6, DURATION_MS));
  });

  it('loses at most one seed and one other replica', () => {
    for (let seed = 0; seed < PLANS_TO_DRAW; seed += 1) {
      const replicas = drawStartPlan(seed, DURATION_MS).starts.slice(0, CONTROL_REPLICAS);
      const lost = (starts: readonly PlannedStart[]): PlannedStart[] =>
        starts.filter(({ mayBeLost }) => mayBeLost);
      expect(lost(replicas.slice(0, SEEDS)).length, `seed ${seed}`).to.be.at.most(1);
      expect(lost(replicas.slice(SEEDS)).length, `seed ${seed}`).to.be.at.most(1);
      for (const { mayBeLost, signals } of replicas) {
        if (mayBeLost) continue;
        expect(signals.every(({ signal }) => signal === 'SIGHUP')).to.equal(true);
      }
    }
  });
});

describe('a site of real processes', function () {
  this.timeout(120_000);

  it('starts in any order', async () => {
    const plan = drawSmallStartPlan(CALM_SEED, DURATION_MS);
    const starts = plan.starts.map((start) => ({ ...start, ...CALM_START }));
    await expectNoViolations({ ...plan, starts });
  });

  for (const seed of CI_SEEDS) {
    it(`starts among signals, addresses in use and log output that fails: seed ${seed}`, async () => {
      await expectNoViolations(drawSmallStartPlan(seed, DURATION_MS));
    });
  }
});
