#!/usr/bin/env node
/**
 * Entry point of the `shoredoor` command. The modules of the command line are imported afterwards: until then, signals would
 * end a program that is being loaded.
 */
import { parseArgs } from 'node:util';
import { ProcessLifecycle } from './process-lifecycle.js';

const PROGRAMS: readonly (string | undefined)[] = ['node', 'edge', 'sidecar', 'control'];
const HELP_FLAGS: readonly string[] = ['--help', '-h', '--version', '-v'];

/** Begins the life of the process if the arguments run a program. */
function beginLifecycle(args: readonly string[]): ProcessLifecycle | undefined {
  const [program] = args;
  if (!PROGRAMS.includes(program) || args.some((arg) => HELP_FLAGS.includes(arg))) return undefined;
  const { values } = parseArgs({
    args: [...args],
    options: { config: { type: 'string' } },
    strict: false,
  });
  const { config } = values;
  return ProcessLifecycle.begin({
    program,
    settingsFile: typeof config === 'string' ? config : undefined,
  });
}

const lifecycle = beginLifecycle(process.argv.slice(2));
try {
  const { runCommandLine } = await import('./command-line.js');
  await runCommandLine(process.argv, lifecycle);
} catch (error) {
  if (lifecycle === undefined) throw error;
  // The modules of the command line are missing or broken: it reports all other errors itself.
  process.stderr.write(`shoredoor: ${String(error)}\n`);
  process.exit(lifecycle.onFailedStart(error));
}
