/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- types of plain JavaScript stand in JSDoc */
/** Runs a case: its record, its end within the allowed time, and the exit code. */
import { isBuilt } from './program.mjs';

/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
/** Time after which a case that hangs is given up, in milliseconds. */
const LONGEST_MS = 112_000;

/**
 * @typedef {object} Case
 * @property {import('./record.mjs').Record} record
 * @property {import('./deployment.mjs').Deployment} deployment
 * @property {string} rule
 * @property {() => Promise<boolean>} run plays the case and returns whether the rule was broken
 */

/**
 * Runs a case, ends all that it has started, writes the record and ends this process.
 * @param {Case} playedCase
 */
export async function runCase({ record, deployment, rule, run }) {
  let hasEnded = false;
  const end = async (/** @type {number} */ code) => {
    if (hasEnded) return;
    hasEnded = true;
    await deployment.stop();
    record.save();
    process.exit(code);
  };
  const giveUp = (/** @type {string} */ why) => {
    record.add(`RESULT the case could not run: ${why}`);
    void end(NOT_RUN);
  };
  if (!isBuilt()) {
    giveUp('the programs are not built (review/build.sh)');
    return;
  }
  setTimeout(() => giveUp('it took too long'), LONGEST_MS);
  process.on('SIGTERM', () => giveUp('SIGTERM'));
  process.on('SIGINT', () => giveUp('SIGINT'));
  process.on('uncaughtException', (error) => giveUp(String(error)));
  try {
    const isBroken = await run();
    record.add(`RESULT rule ${rule} ${isBroken ? 'broken' : 'held'}`);
    await end(isBroken ? BROKEN : HELD);
  } catch (error) {
    giveUp(String(error));
  }
}
