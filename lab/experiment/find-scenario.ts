/** Loads the built-in scenarios by name. */
import { fileURLToPath } from 'node:url';
import { join } from 'node:path';
import { loadScenario, type Scenario } from './scenario.js';

const FOLDER = fileURLToPath(new URL('../../../lab/scenarios/', import.meta.url));

/** @param name file name in `lab/scenarios`, without the extension */
export function loadBuiltInScenario(name: string): Scenario {
  return loadScenario(join(FOLDER, `${name}.yaml`));
}
