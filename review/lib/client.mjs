/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- types of plain JavaScript stand in JSDoc */
/** A client of a machine: sends one request over a kept or a new connection, and may leave early. */
import { Agent, request } from 'node:http';

/**
 * @typedef {object} Answer
 * @property {number} status 0 if there was no whole answer
 * @property {string} end `whole`, `left`, or how the connection broke
 * @property {boolean} isSigned
 */

/** @returns {Agent} connections that are kept for later requests */
export function keptConnections() {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/**
 * Sends one request.
 * @param {object} options
 * @param {string} options.to address of the ingress, `HOST:PORT`
 * @param {string} options.host name in the Host header
 * @param {string} options.path
 * @param {string} options.method
 * @param {string} options.id
 * @param {number} options.deadlineMs
 * @param {Buffer} [options.body]
 * @param {Agent} [options.agent] a new connection by default
 * @param {number} [options.leaveAfterMs] closes the connection after this time
 * @returns {Promise<Answer>}
 */
export function send({ to, host, path, method, id, deadlineMs, body, agent, leaveAfterMs }) {
  const [address, port] = to.split(':');
  return new Promise((resolve) => {
    let hasLeft = false;
    /** @type {NodeJS.Timeout | undefined} */
    let leave;
    const settle = (/** @type {Answer} */ answer) => {
      clearTimeout(leave);
      resolve(hasLeft ? { status: 0, end: 'left', isSigned: false } : answer);
    };
    const headers = {
      host,
      'x-request-id': id,
      'x-deadline-milliseconds': String(deadlineMs),
      ...(body !== undefined && { 'content-length': body.length }),
    };
    const sent = request({
      host: address,
      port: Number(port),
      path,
      method,
      headers,
      agent: agent ?? false,
    });
    sent.on('response', (response) => {
      response.resume();
      const isSigned = response.headers['x-response-signature'] !== undefined;
      response.on('end', () =>
        settle({ status: response.statusCode ?? 0, end: 'whole', isSigned }),
      );
      response.on('error', (error) =>
        settle({ status: 0, end: `broken: ${error.message}`, isSigned }),
      );
    });
    sent.on('error', (error) =>
      settle({ status: 0, end: `no answer: ${error.message}`, isSigned: false }),
    );
    if (leaveAfterMs !== undefined) {
      leave = setTimeout(() => {
        hasLeft = true;
        sent.destroy();
      }, leaveAfterMs);
    }
    sent.end(body);
  });
}
