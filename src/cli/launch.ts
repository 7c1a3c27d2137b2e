/**
 * Starts a bundled program with the engine's code cache, which the build writes: compiling the bundle
 * is a third of a start, and a killed process is to be back soon.
 *
 * `node FLAGS launch.cjs BUNDLE ARGUMENTS...` runs the bundle; `node FLAGS launch.cjs --write-cache
 * BUNDLE` loads its modules and writes the cache beside it. A cache of another engine, of other engine
 * flags or of another bundle is passed over by the engine itself (`vm.Script`, `cachedDataRejected`).
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire, Module } from 'node:module';
import { dirname, resolve } from 'node:path';
import { Script } from 'node:vm';

/** What a bundle exports. */
interface Bundle {
  /** Runs the program that the arguments name. */
  run(args: readonly string[]): Promise<void>;
  /** Loads the modules of every program and runs none. */
  loadAll(): Promise<void>;
}

type ModuleWrapper = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  directory: string,
) => void;

/** Argument that has the cache written. */
const WRITE_CACHE = '--write-cache';

/** The cache, where there is one: without it, or if it cannot be read, the bundle is compiled, which is only slower. */
function readIfPresent(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch {
    // Nothing is told: a start without the cache is sound, and a build that writes none would repeat the line at each.
    return undefined;
  }
}

function loadBundle(file: string): { readonly script: Script; readonly bundle: Bundle } {
  const source = Module.wrap(readFileSync(file, 'utf8'));
  const script = new Script(source, { filename: file, cachedData: readIfPresent(cacheOf(file)) });
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
  if (first !== WRITE_CACHE) {
    await loadBundle(resolve(first)).bundle.run(rest);
    return;
  }
  const file = resolve(rest[0] ?? '');
  const { script, bundle } = loadBundle(file);
  await bundle.loadAll();
  writeFileSync(cacheOf(file), script.createCachedData());
}

void main(process.argv.slice(2)).catch((error: unknown) => {
  process.stderr.write(`shoredoor: ${error instanceof Error ? error.stack : String(error)}\n`);
  process.exit(1);
});
