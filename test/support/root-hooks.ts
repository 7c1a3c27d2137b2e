/** Root hooks of Mocha: common setup, and the list of known failing tests that CI skips. */
import type { Context } from 'mocha';
import { existsSync, readFileSync } from 'node:fs';
import { prepareHashing } from '../../src/common/rendezvous-hash.js';

/** One line per test: its full title, the cause, the issue. */
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const SEPARATOR = ' | ';
const MAX_KNOWN_RED = 3;
/** Set by the CI script; without it, the listed tests run and fail. */
const PASS_OVER = process.env.PASS_OVER_KNOWN_RED === 'true';

const knownRed = PASS_OVER && existsSync(KNOWN_RED_FILE) ? readKnownRed() : [];

function readKnownRed(): string[] {
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n').filter(Boolean);
  if (lines.length > MAX_KNOWN_RED) {
    throw new Error(
      `${KNOWN_RED_FILE} names ${lines.length} tests, at most ${MAX_KNOWN_RED} may be`,
    );
  }
  return lines;
}

/** Skips a known failing test and prints a notice. */
function passOverKnownRed(this: Context): void {
  const title = this.currentTest?.fullTitle();
  const line = knownRed.find((each) => each.split(SEPARATOR)[0] === title);
  if (line === undefined) return;
  process.stdout.write(`known red, passed over: ${line}\n`);
  this.skip();
}

export const mochaHooks = { beforeAll: prepareHashing, beforeEach: passOverKnownRed };
