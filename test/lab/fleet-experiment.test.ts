import { expect } from 'chai';
import { loadBuiltInScenario } from '../../lab/experiment/find-scenario.js';
import { runFleetExperiment } from '../../lab/fleet/fleet-experiment.js';
import { loadDeployment } from '../../lab/model/load-deployment.js';
import type { ValidationError } from '../../src/common/errors.js';

/** Returns the paths of the faults for which the scenario is rejected; empty if it runs. */
async function refusedFor(scenario: ReturnType<typeof loadBuiltInScenario>): Promise<string[]> {
  try {
    await runFleetExperiment(scenario, loadDeployment(scenario.deployment), 1);
  } catch (error) {
    return (error as InstanceType<typeof ValidationError>).faults.map(({ path }) => path);
  }
  return [];
}

describe('an experiment on real processes', () => {
  const scenario = loadBuiltInScenario('lost-answers');

  it('is refused with faults of links, which only the simulator has', async () => {
    expect(await refusedFor(scenario)).to.deep.equal(['faults[2].type']);
  });

  it('is refused with a mechanism switched off, which processes would not heed', async () => {
    const mechanisms = { ...scenario.mechanisms, leaving: false };
    expect(await refusedFor({ ...scenario, faults: [], mechanisms })).to.deep.equal(['mechanisms']);
  });
});
