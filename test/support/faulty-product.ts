/**
 * Runs the sidecar or the control replica of the product, as its command does, with a callback that throws once the program has
 * started. Arguments: the program and its settings file.
 */
import { runProgram } from '../../src/cli/run-program.js';
import { startControl } from '../../src/programs/control-program.js';
import type { Program } from '../../src/programs/program.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { controlSettingsSchema, sidecarSettingsSchema } from '../../src/settings/schemas.js';

const FAULT_DELAY_MS = 100;

function withFault<Settings>(program: Program<Settings>): Program<Settings> {
  setTimeout(() => {
    throw new Error('a fault in a timer');
  }, FAULT_DELAY_MS);
  return program;
}

const [name, config] = process.argv.slice(2);
if (name === 'sidecar') {
  await runProgram(name, sidecarSettingsSchema, { config }, async (settings, logger) =>
    withFault(await startSidecar(settings, logger)),
  );
} else {
  await runProgram('control', controlSettingsSchema, { config }, async (settings, logger) =>
    withFault(await startControl(settings, logger)),
  );
}
