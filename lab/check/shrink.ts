/** Reduces a failing scenario: removes faults and load phases one at a time while it still fails. */
import type { Scenario } from '../experiment/scenario.js';

function without<Item>(items: readonly Item[], index: number): Item[] {
  return items.filter((_, at) => at !== index);
}

/** Returns every scenario that has one fault or load phase fewer. */
function smallerScenarios(scenario: Scenario): Scenario[] {
  return [
    ...scenario.faults.map((_, index) => ({
      ...scenario,
      faults: without(scenario.faults, index),
    })),
    ...scenario.load.map((_, index) => ({ ...scenario, load: without(scenario.load, index) })),
  ];
}

/**
 * Returns a scenario that still fails and from which no single fault or load phase can be removed.
 * @param fails whether a scenario still reproduces the failure
 */
export function shrinkScenario(
  scenario: Scenario,
  fails: (scenario: Scenario) => boolean,
): Scenario {
  for (const candidate of smallerScenarios(scenario)) {
    if (fails(candidate)) return shrinkScenario(candidate, fails);
  }
  return scenario;
}
