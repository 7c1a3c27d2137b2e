/**
 * A program that fails in a way that its first argument names; run as a process of its own. It answers HTTP requests after a
 * while, and refuses those that come during its stop.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';
import { runProgram } from '../../src/cli/run-program.js';
import { delay, type Program } from '../../src/programs/program.js';

/** Delay of an answer, and of the stop, in milliseconds. */
const ANSWER_DELAY_MS = 500;
/** Far longer than a test waits for its end, in milliseconds. */
const START_DELAY_MS = 60_000;
/** More than the buffers of a pipe hold, in bytes. */
const OUTPUT_SIZE = 4 * 2 ** 20;
const SLOW_STARTS = ['waits-at-start', 'throws-at-start'];
/** Delay from a request to the error that it causes, in milliseconds. */
const FAULT_DELAY_MS = 50;

const settingsSchema = z.object({
  id: z.string().default('failing-1'),
  logLevel: z.literal('info').default('info'),
});

/** How long a callback runs, in milliseconds. */
const HOLD_MS = 2_000;

const faults: Record<string, () => void> = {
  'throws-once': () => throwLater(0),
  'rejects-once': () => void Promise.reject(new Error('a rejection')),
  'throws-unprintable': () => {
    setTimeout(() => {
      throw Object.create(null);
    });
  },
  'throws-twice': () => {
    throwLater(0);
    throwLater(100);
  },
  'holds-event-loop': () => {
    const endAt = performance.now() + HOLD_MS;
    while (performance.now() < endAt);
  },
  'ends-alone': () => process.exit(),
};

function throwLater(delayMs: number): void {
  setTimeout(() => {
    throw new Error('a fault in a timer');
  }, delayMs);
}

async function start(fault: string): Promise<Program> {
  if (fault === 'waits-at-start') process.stdout.write('{"msg":"waiting"}\n');
  if (fault === 'throws-at-start') throwLater(0);
  if (SLOW_STARTS.includes(fault)) await delay(START_DELAY_MS);
  if (fault === 'fills-output') process.stdout.write('x'.repeat(OUTPUT_SIZE));
  if (fault === 'fails-at-start' || fault === 'fills-output') throw new Error('no address');
  let isStopping = false;
  const server = createServer((_request, response) => {
    if (isStopping) {
      response.writeHead(503, { Connection: 'close' }).end();
      return;
    }
    setTimeout(() => faults[fault]?.(), FAULT_DELAY_MS);
    response.setHeader('Connection', 'close');
    setTimeout(() => response.end('answered'), ANSWER_DELAY_MS);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    origins: { listen: `http://127.0.0.1:${port}` },
    stop: async (limits) => {
      isStopping = true;
      if (fault === 'throws-in-stop') throwLater(0);
      if (fault === 'fails-to-stop') throw new Error('no stop');
      process.stdout.write(`${JSON.stringify({ limits })}\n`);
      server.closeIdleConnections();
      await new Promise<void>((resolve) => server.close(() => resolve()));
      await delay(ANSWER_DELAY_MS);
    },
  };
}

const [fault = ''] = process.argv.slice(2);
await runProgram('failing', settingsSchema, {}, () => start(fault));
