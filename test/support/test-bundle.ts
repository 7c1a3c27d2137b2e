/** Bundles the launcher and the platform's entry point into a temporary folder, as `npm run bundle` does into `target/`. */
import { build } from 'esbuild';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** The files of a bundle. */
export interface TestBundle {
  readonly launcher: string;
  readonly program: string;
}

export async function bundlePrograms(): Promise<TestBundle> {
  const folder = mkdtempSync(join(tmpdir(), 'shoredoor-bundle-'));
  const bundle = { launcher: join(folder, 'launch.cjs'), program: join(folder, 'main.cjs') };
  await bundleFile('src/cli/launch.ts', bundle.launcher);
  await bundleFile('platform/main.ts', bundle.program);
  return bundle;
}

async function bundleFile(entry: string, outfile: string): Promise<void> {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'warning',
    external: ['dtrace-provider', 'msgpackr-extract'],
  });
}
