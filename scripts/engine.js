/**
 * The Node.js executable of the programs: the packaged one for this machine or, where none fits, the one that runs the build. It is
 * installed at one path on every architecture, for `run` in the deploy file, and it alone writes and reads the code cache.
 */
import { spawnSync } from 'node:child_process';
import {
  closeSync,
  copyFileSync,
  existsSync,
  linkSync,
  mkdirSync,
  openSync,
  readSync,
  realpathSync,
  renameSync,
  rmSync,
} from 'node:fs';
import { dirname, join } from 'node:path';

export const ENGINE_FILE = 'target/node';

/** Flags of the programs, as in `run` of the deploy file. */
export const ENGINE_FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=4'];

/** Length of an ELF header up to `e_machine`. The first six bytes hold the magic number, the class and the byte order. */
const ELF_MACHINE_END = 20;
const ELF_MACHINE_START = 18;
const ELF_FORMAT_END = 6;

/**
 * Installs the engine at `file`. An engine that is there already is replaced: it may be of another machine or version.
 * @param {string} file
 * @param {string} packages folder of the installed packages
 * @param {string} accepted accepted versions, `>=MAJOR.MINOR`
 * @returns {string | undefined} a notice if no packaged engine fits
 * @throws {Error} if there is no engine of an accepted version
 */
export function installEngine(file, packages, accepted) {
  mkdirSync(dirname(file), { recursive: true });
  const name = `node-${process.platform}-${process.arch}`;
  const packagedFault = tryEngine(join(packages, name, 'bin', 'node'), file, accepted);
  if (packagedFault === undefined) return undefined;
  const installedFault = tryEngine(process.execPath, file, accepted);
  if (installedFault === undefined) {
    return `The package ${name} ${packagedFault}; using ${process.execPath}, ${process.version}.`;
  }
  throw new Error(
    `Node.js ${accepted} is needed; the package ${name} ${packagedFault}, ${process.execPath} ${installedFault}`,
  );
}

/**
 * Installs a candidate if it runs here with the flags of the programs.
 * @param {string} candidate
 * @param {string} file
 * @param {string} accepted
 * @returns {string | undefined} why the candidate is not installed
 */
function tryEngine(candidate, file, accepted) {
  if (!existsSync(candidate)) return 'is not installed';
  if (!isOfThisMachine(candidate)) return 'is of another architecture';
  const staged = `${file}.staged`;
  rmSync(staged, { force: true });
  linkOrCopy(realpathSync(candidate), staged);
  const { status, stdout, error } = spawnSync(staged, [...ENGINE_FLAGS, '--version'], {
    encoding: 'utf8',
  });
  const version = stdout?.trim() ?? '';
  if (status === 0 && isAccepted(version, accepted)) {
    // A rename to another link of the same file would leave both.
    rmSync(file, { force: true });
    renameSync(staged, file);
    return undefined;
  }
  rmSync(staged);
  return status === 0 ? `is ${version}` : `does not run (${error?.message ?? `status ${status}`})`;
}

/**
 * Compares the headers of two executables before one is run: `execvp` passes a file of another architecture to the shell.
 * @param {string} file
 */
function isOfThisMachine(file) {
  return machineOf(file).equals(machineOf(process.execPath));
}

/**
 * @param {string} file
 * @returns {Buffer} format and architecture
 */
function machineOf(file) {
  const header = Buffer.alloc(ELF_MACHINE_END);
  const descriptor = openSync(file, 'r');
  readSync(descriptor, header);
  closeSync(descriptor);
  return Buffer.concat([header.subarray(0, ELF_FORMAT_END), header.subarray(ELF_MACHINE_START)]);
}

/**
 * @param {string} file
 * @param {string} link
 */
function linkOrCopy(file, link) {
  try {
    linkSync(file, link);
  } catch {
    // Another file system, or a file of another user.
    copyFileSync(file, link);
  }
}

/**
 * @param {string} version `vMAJOR.MINOR.PATCH`
 * @param {string} accepted `>=MAJOR.MINOR`
 */
function isAccepted(version, accepted) {
  const [major = NaN, minor = NaN] = version.replace('v', '').split('.').map(Number);
  const [minMajor = NaN, minMinor = NaN] = accepted.replace('>=', '').split('.').map(Number);
  return major > minMajor || (major === minMajor && minor >= minMinor);
}
