/**
 * Starts a bundled program with a V8 code cache that the build writes, to shorten the start.
 *
 * `node FLAGS launch.cjs BUNDLE ARGUMENTS...` runs the bundle; `node FLAGS launch.cjs --write-cache
 * BUNDLE` loads its modules and writes the cache beside it. V8 rejects a cache of another version, architecture or
 * bundle, or of flags that change the code (`vm.Script`, `cachedDataRejected`).
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire, Module } from 'node:module';
import { dirname, resolve } from 'node:path';
import { Script } from 'node:vm';
import { EXIT_CODES } from './exit-codes.js';
import { ProcessLifecycle } from './process-lifecycle.js';

/** The exports of a bundle. */
interface Bundle {
  /** Runs the program named by the arguments. */
  run(args: readonly string[], lifecycle: ProcessLifecycle): Promise<void>;
  /** Loads the modules of all programs without running them. */
  loadAll(): Promise<void>;
}

type ModuleWrapper = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  directory: string,
) => void;

const WRITE_CACHE = '--write-cache';
const ENGINE = `Node.js ${process.version} on ${process.arch}`;

/** Reads the cache. Without one the bundle is compiled, which is only slower. */
function readIfPresent(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch {
    // Not logged: the cache is optional, and a build without one would log this at every start.
    return undefined;
  }
}

function loadBundle(file: string): { readonly script: Script; readonly bundle: Bundle } {
  const source = Module.wrap(readFileSync(file, 'utf8'));
  const script = new Script(source, { filename: file, cachedData: readIfPresent(cacheOf(file)) });
  if (script.cachedDataRejected === true) {
    process.stderr.write(
      `shoredoor: the code cache ${cacheOf(file)} does not fit this bundle and ${ENGINE}; starting without it\n`,
    );
  }
  const wrapper = script.runInThisContext() as ModuleWrapper;
  const loaded = { exports: {} };
  wrapper(loaded.exports, createRequire(file), loaded, file, dirname(file));
  return { script, bundle: loaded.exports as Bundle };
}

function cacheOf(file: string): string {
  return `${file}.cache`;
}

async function main(args: readonly string[]): Promise<void> {
  const [first = '', ...rest] = args;
  if (first === WRITE_CACHE) await writeCache(resolve(rest[0] ?? ''));
  else await runBundle(resolve(first), rest);
}

async function runBundle(file: string, args: readonly string[]): Promise<void> {
  // Comes first: until then, signals end the process, and loading a bundle takes a while.
  const [program, settingsFile] = args;
  const lifecycle = ProcessLifecycle.begin({ program, settingsFile });
  try {
    await loadBundle(file).bundle.run(args, lifecycle);
  } catch (error) {
    writeError(error);
    process.exit(lifecycle.onFailedStart(error));
  }
}

async function writeCache(file: string): Promise<void> {
  const { script, bundle } = loadBundle(file);
  await bundle.loadAll();
  writeFileSync(cacheOf(file), script.createCachedData());
}

function writeError(error: unknown): void {
  process.stderr.write(`shoredoor: ${error instanceof Error ? error.stack : String(error)}\n`);
}

void main(process.argv.slice(2)).catch((error: unknown) => {
  writeError(error);
  process.exit(EXIT_CODES.failed);
});
