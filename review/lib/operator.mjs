/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- types of plain JavaScript stand in JSDoc */
/**
 * The operator of a deployment: puts a whole configuration and reads it back, at any node that serves control. It follows a
 * 307 twice, and after a failure goes on at another node, after a pause that grows.
 */
import { setTimeout as sleep } from 'node:timers/promises';

const PATH = '/v1/declarations';
const ANSWER_MS = 1_000;
const REDIRECTS = 2;
/** The first pause after a failure, in milliseconds, by how much each further one is longer, and the longest. */
const FIRST_PAUSE_MS = 20;
const PAUSE_FACTOR = 1.1;
const LONGEST_PAUSE_MS = 1_000;

/**
 * @typedef {object} OperatorAnswer
 * @property {number} status 0 if there was no answer
 * @property {string} from address of the node that answered
 * @property {string} text
 */

export class Operator {
  next = 0;

  /**
   * @param {readonly string[]} nodes addresses, `HOST:PORT`
   * @param {import('./record.mjs').Record} record
   */
  constructor(nodes, record) {
    this.nodes = nodes;
    this.record = record;
  }

  /**
   * Puts a configuration, unchanged and again until a node acknowledges it.
   * @param {{ version: number, resources: readonly unknown[] }} configuration
   * @param {number} base version that it builds on
   * @param {number} withinMs
   * @returns {Promise<string | undefined>} address of the node that acknowledged it; undefined if none did in time
   */
  async put(configuration, base, withinMs) {
    const headers = { 'if-match': String(base), 'content-type': 'application/json' };
    const options = { method: 'PUT', headers, body: JSON.stringify(configuration) };
    const answer = await this.repeat(options, withinMs);
    if (answer === undefined) return undefined;
    this.record.add(`ACKNOWLEDGED version ${configuration.version} by ${answer.from}`);
    return answer.from;
  }

  /**
   * Reads the newest configuration, again until a node answers with it.
   * @param {number} withinMs
   * @returns {Promise<number | undefined>} its version; undefined if none came in time
   */
  async get(withinMs) {
    const answer = await this.repeat({ method: 'GET' }, withinMs);
    if (answer === undefined) return undefined;
    /** @type {unknown} */
    const configuration = JSON.parse(answer.text);
    return versionOf(configuration);
  }

  /**
   * @param {RequestInit} options
   * @param {number} withinMs
   * @returns {Promise<OperatorAnswer | undefined>}
   */
  async repeat(options, withinMs) {
    const until = performance.now() + withinMs;
    let pauseMs = FIRST_PAUSE_MS;
    let last = '';
    while (performance.now() < until) {
      const node = this.nodes[this.next % this.nodes.length] ?? '';
      this.next += 1;
      const answer = await callNode(`http://${node}${PATH}`, options);
      if (answer.status === 200) return answer;
      const said = `${options.method} answered ${answer.status}`;
      if (said !== last) this.record.add(`${said} by ${answer.from}`);
      last = said;
      await sleep(pauseMs);
      pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * PAUSE_FACTOR);
    }
    return undefined;
  }
}

/**
 * @param {string} first
 * @param {RequestInit} options
 * @returns {Promise<OperatorAnswer>}
 */
async function callNode(first, options) {
  let url = first;
  for (let redirects = 0; ; redirects += 1) {
    const from = new URL(url).host;
    try {
      const signal = AbortSignal.timeout(ANSWER_MS);
      const response = await fetch(url, { ...options, redirect: 'manual', signal });
      const text = await response.text();
      const location = response.headers.get('location');
      if (response.status !== 307 || location === null || redirects >= REDIRECTS) {
        return { status: response.status, from, text };
      }
      url = location;
    } catch {
      return { status: 0, from, text: '' };
    }
  }
}

/**
 * @param {unknown} configuration
 * @returns {number | undefined}
 */
function versionOf(configuration) {
  if (typeof configuration !== 'object' || configuration === null) return undefined;
  return 'version' in configuration && typeof configuration.version === 'number'
    ? configuration.version
    : undefined;
}
