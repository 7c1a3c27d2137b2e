/** Root hooks of Mocha: common setup, and the list of known failing tests that CI skips. */
import type { Context } from 'mocha';
import { existsSync, readFileSync } from 'node:fs';
import { prepareHashing } from '../../src/common/rendezvous-hash.js';
import { parseKnownRed } from './known-red.js';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
/** Set by the CI script; without it, the listed tests run and fail. */
const PASS_OVER = process.env.PASS_OVER_KNOWN_RED === 'true';

const knownRed =
  PASS_OVER && existsSync(KNOWN_RED_FILE)
    ? parseKnownRed(readFileSync(KNOWN_RED_FILE, 'utf8'))
    : [];

/** Skips a known failing test and prints a notice. */
function passOverKnownRed(this: Context): void {
  const fullTitle = this.currentTest?.fullTitle();
  const known = knownRed.find(({ title }) => title === fullTitle);
  if (known === undefined) return;
  process.stdout.write(`known red, passed over: ${known.entry}\n`);
  this.skip();
}

export const mochaHooks = { beforeAll: prepareHashing, beforeEach: passOverKnownRed };
