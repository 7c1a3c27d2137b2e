/** Entry point of the bundle that soaks of starts run, in the form that `src/cli/launch.ts` expects: `sidecar|control FILE`. */
import type { ProcessLifecycle } from '../../src/cli/process-lifecycle.js';
import { runProgram } from '../../src/cli/run-program.js';
import { startControl } from '../../src/programs/control-program.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { controlSettingsSchema, sidecarSettingsSchema } from '../../src/settings/schemas.js';

/** Runs a program, given its name and its settings file. */
export async function run(
  [program, config]: readonly string[],
  lifecycle: ProcessLifecycle,
): Promise<void> {
  if (program === 'sidecar') {
    await runProgram(program, sidecarSettingsSchema, { config }, startSidecar, lifecycle);
  } else {
    await runProgram('control', controlSettingsSchema, { config }, startControl, lifecycle);
  }
}
