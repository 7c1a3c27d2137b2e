/** The commands `node`, `edge`, `sidecar` and `control`. Each loads only what its program needs. */
import type { CAC } from 'cac';
import type { ProgramOptions } from './run-program.js';

const CONFIG_HELP = 'Settings file (YAML)';
const SET_HELP = 'Override one setting: PATH=VALUE (repeatable)';

/** Registers the commands. */
export function registerProgramCommands(cli: CAC): void {
  cli
    .command('node', 'Run the node beside one target')
    .option('--config <file>', CONFIG_HELP)
    .option('--set <path=value>', SET_HELP)
    .example('  $ shoredoor node --config node.yaml --set zone=muc-north')
    .action(async (options: ProgramOptions) => {
      const { runProgram } = await import('./run-program.js');
      const { nodeSettingsSchema } = await import('../settings/node-settings.js');
      const { startNode } = await import('../programs/node-program.js');
      await runProgram('node', nodeSettingsSchema, options, startNode);
    });
  cli
    .command('edge', 'Run an edge for callers from outside')
    .option('--config <file>', CONFIG_HELP)
    .option('--set <path=value>', SET_HELP)
    .example('  $ shoredoor edge --config edge.yaml')
    .action(async (options: ProgramOptions) => {
      const { runProgram } = await import('./run-program.js');
      const { edgeSettingsSchema } = await import('../settings/edge-settings.js');
      const { startEdge } = await import('../programs/edge-program.js');
      await runProgram('edge', edgeSettingsSchema, options, startEdge);
    });
  cli
    .command('sidecar', 'Run the node beside one target that is also the ingress of its machine')
    .option('--config <file>', CONFIG_HELP)
    .option('--set <path=value>', SET_HELP)
    .example('  $ shoredoor sidecar --config sidecar.yaml')
    .action(async (options: ProgramOptions) => {
      const { runProgram } = await import('./run-program.js');
      const { sidecarSettingsSchema } = await import('../settings/sidecar-settings.js');
      const { startSidecar } = await import('../programs/sidecar-program.js');
      await runProgram('sidecar', sidecarSettingsSchema, options, startSidecar);
    });
  cli
    .command('control', 'Run a control replica')
    .option('--config <file>', CONFIG_HELP)
    .option('--set <path=value>', SET_HELP)
    .example('  $ shoredoor control --config control.yaml')
    .action(async (options: ProgramOptions) => {
      const { runProgram } = await import('./run-program.js');
      const { controlSettingsSchema } = await import('../settings/control-settings.js');
      const { startControl } = await import('../programs/control-program.js');
      await runProgram('control', controlSettingsSchema, options, startControl);
    });
}
