/** The programs as one bundle with its launcher, as deployments run them: they start sooner than from single modules. */
import { build } from 'esbuild';
import { statSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

export interface BundledPrograms {
  readonly launcher: string;
  readonly bundle: string;
  /** Length of the bundle. A process that has read as much is past the first statement of the launcher. */
  readonly bundleBytes: number;
}

/** Builds the bundle in a folder. */
export async function bundlePrograms(folder: string): Promise<BundledPrograms> {
  const bundle = join(folder, 'main.cjs');
  const launcher = join(folder, 'launch.cjs');
  await bundleModule('./program-entry.js', bundle);
  await bundleModule('../../src/cli/launch.js', launcher);
  return { launcher, bundle, bundleBytes: statSync(bundle).size };
}

async function bundleModule(module: string, outfile: string): Promise<void> {
  await build({
    entryPoints: [fileURLToPath(new URL(module, import.meta.url))],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    logLevel: 'warning',
    external: ['dtrace-provider', 'msgpackr-extract'],
  });
}
