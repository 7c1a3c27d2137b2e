/** The commands `node`, `edge`, `sidecar` and `control`. Each imports only its own program, to keep the start short. */
import type { CAC, Command } from 'cac';
import type { ProcessLifecycle } from './process-lifecycle.js';
import type { ProgramOptions } from './run-program.js';

const CONFIG_HELP = 'Settings file (YAML)';
const SET_HELP = 'Override one setting: PATH=VALUE (repeatable)';

/** Adds the options of commands that run a program. */
function addSettingsOptions(command: Command): Command {
  return command.option('--config <file>', CONFIG_HELP).option('--set <path=value>', SET_HELP);
}

/** Registers the commands in the order of the help text. @param lifecycle that of the process, if it runs a program */
export function registerProgramCommands(cli: CAC, lifecycle?: ProcessLifecycle): void {
  registerNode(cli, lifecycle);
  registerEdge(cli, lifecycle);
  registerSidecar(cli, lifecycle);
  registerControl(cli, lifecycle);
}

function registerNode(cli: CAC, lifecycle?: ProcessLifecycle): void {
  addSettingsOptions(cli.command('node', 'Run the node beside one target'))
    .example('  $ shoredoor node --config node.yaml --set zone=muc-north')
    .action(async (options: ProgramOptions) => {
      const { runProgram } = await import('./run-program.js');
      const { nodeSettingsSchema } = await import('../settings/node-settings.js');
      const { startNode } = await import('../programs/node-program.js');
      await runProgram('node', nodeSettingsSchema, options, startNode, lifecycle);
    });
}

function registerEdge(cli: CAC, lifecycle?: ProcessLifecycle): void {
  addSettingsOptions(cli.command('edge', 'Run an edge for callers from outside'))
    .example('  $ shoredoor edge --config edge.yaml')
    .action(async (options: ProgramOptions) => {
      const { runProgram } = await import('./run-program.js');
      const { edgeSettingsSchema } = await import('../settings/edge-settings.js');
      const { startEdge } = await import('../programs/edge-program.js');
      await runProgram('edge', edgeSettingsSchema, options, startEdge, lifecycle);
    });
}

function registerSidecar(cli: CAC, lifecycle?: ProcessLifecycle): void {
  addSettingsOptions(
    cli.command(
      'sidecar',
      'Run the node beside one target that is also the ingress of its machine',
    ),
  )
    .example('  $ shoredoor sidecar --config sidecar.yaml')
    .action(async (options: ProgramOptions) => {
      const { runProgram } = await import('./run-program.js');
      const { sidecarSettingsSchema } = await import('../settings/sidecar-settings.js');
      const { startSidecar } = await import('../programs/sidecar-program.js');
      await runProgram('sidecar', sidecarSettingsSchema, options, startSidecar, lifecycle);
    });
}

function registerControl(cli: CAC, lifecycle?: ProcessLifecycle): void {
  addSettingsOptions(cli.command('control', 'Run a control replica'))
    .example('  $ shoredoor control --config control.yaml')
    .action(async (options: ProgramOptions) => {
      const { runProgram } = await import('./run-program.js');
      const { controlSettingsSchema } = await import('../settings/control-settings.js');
      const { startControl } = await import('../programs/control-program.js');
      await runProgram('control', controlSettingsSchema, options, startControl, lifecycle);
    });
}
