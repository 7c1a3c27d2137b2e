/**
 * Builds what deployments run, under `target/`: the bundle of the programs, its launcher, the engine, and the code cache of the bundle.
 * All of it is replaced, so that nothing of another machine or version remains.
 */
import { build } from 'esbuild';
import { spawnSync } from 'node:child_process';
import { readFileSync, rmSync } from 'node:fs';
import { ENGINE_FILE, ENGINE_FLAGS, installEngine } from './engine.js';

const BUNDLE = 'target/main.cjs';
const LAUNCHER = 'target/launch.cjs';

/** @type {import('esbuild').BuildOptions} */
const COMMON_OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
};

async function bundlePrograms() {
  await build({
    ...COMMON_OPTIONS,
    entryPoints: ['platform/main.ts'],
    outfile: BUNDLE,
    minifyWhitespace: true,
    minifySyntax: true,
    external: ['dtrace-provider', 'msgpackr-extract'],
  });
  await build({ ...COMMON_OPTIONS, entryPoints: ['src/cli/launch.ts'], outfile: LAUNCHER });
}

/** @returns {string} the versions of Node.js that the package accepts */
function acceptedVersions() {
  const text = readFileSync('package.json', 'utf8');
  const manifest = /** @type {{ engines: { node: string } }} */ (JSON.parse(text));
  return manifest.engines.node;
}

function writeCodeCache() {
  rmSync(`${BUNDLE}.cache`, { force: true });
  const args = [...ENGINE_FLAGS, LAUNCHER, '--write-cache', BUNDLE];
  const { status, error } = spawnSync(ENGINE_FILE, args, { stdio: 'inherit' });
  if (status !== 0) {
    throw new Error(`could not write the code cache: ${error?.message ?? `status ${status}`}`);
  }
}

try {
  const notice = installEngine(ENGINE_FILE, 'node_modules', acceptedVersions());
  if (notice !== undefined) process.stderr.write(`${notice}\n`);
  await bundlePrograms();
  writeCodeCache();
} catch (error) {
  process.stderr.write(
    `The build failed: ${error instanceof Error ? error.message : String(error)}\n`,
  );
  process.exitCode = 1;
}
