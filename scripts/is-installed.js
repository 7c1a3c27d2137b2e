/**
 * Exits with 0 if `node_modules` is newer than the lock file and was installed on a machine of this kind, otherwise with 1 and the
 * reason: packages with executables of another platform or architecture can't run here.
 */
import { readFileSync, statSync } from 'node:fs';

/** npm's record of the packages that it has installed. */
const INSTALLED = 'node_modules/.package-lock.json';

/**
 * @typedef {object} InstalledPackage
 * @property {string | string[]} [os]
 * @property {string | string[]} [cpu]
 */

/** @typedef {{ packages: Record<string, InstalledPackage> }} InstalledPackages */

/** @returns {string | undefined} why the packages have to be installed */
function findReason() {
  if (modifiedAt('node_modules') <= modifiedAt('package-lock.json')) {
    return 'node_modules is missing or older than the lock file';
  }
  if (modifiedAt(INSTALLED) === 0) return `${INSTALLED} is missing`;
  const { packages } = /** @type {InstalledPackages} */ (
    JSON.parse(readFileSync(INSTALLED, 'utf8'))
  );
  const foreign = Object.entries(packages).find(
    ([, { os, cpu }]) => !includes(os, process.platform) || !includes(cpu, process.arch),
  );
  return foreign && `${foreign[0]} is not for ${process.platform}-${process.arch}`;
}

/**
 * @param {string} path
 * @returns {number} time of the last change in milliseconds; 0 if there is no such file
 */
function modifiedAt(path) {
  return statSync(path, { throwIfNoEntry: false })?.mtimeMs ?? 0;
}

/**
 * Whether a list of a package's manifest includes a name: by itself, or by excluding (`!`) others alone.
 * @param {string | string[] | undefined} list
 * @param {string} name
 */
function includes(list, name) {
  if (list === undefined) return true;
  const names = [list].flat();
  if (names.includes(`!${name}`)) return false;
  return names.includes(name) || names.every((each) => each.startsWith('!'));
}

const reason = findReason();
if (reason !== undefined) {
  process.stderr.write(`Installing the packages: ${reason}.\n`);
  process.exitCode = 1;
}
