/**
 * Guards against printing the origins before the signal handlers are installed: a supervisor that sends SIGTERM on that line
 * would kill the process instead of stopping it gracefully.
 */
import { expect } from 'chai';
import { z } from 'zod';
import { runProgram } from '../../src/cli/run-program.js';
import { getStandardOutput } from '../../src/common/line-output.js';
import { watchProcessListeners } from '../support/process-listeners.js';

const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
const settingsSchema = z.object({
  id: z.string().default('program-1'),
  logLevel: z.literal('error').default('error'),
});

describe('a program that says which addresses it has', () => {
  it('can be stopped in order from then on', async () => {
    const before = SIGNALS.map((signal) => process.listenerCount(signal));
    const removeListeners = watchProcessListeners();
    const output = getStandardOutput();
    const write = output.write.bind(output);
    const handlersAtAnnouncement: number[] = [];
    output.write = (line): void => {
      if (!line.includes('"origins"')) return write(line);
      for (const signal of SIGNALS) handlersAtAnnouncement.push(process.listenerCount(signal));
    };
    try {
      await runProgram('test', settingsSchema, {}, () =>
        Promise.resolve({ origins: {}, stop: () => Promise.resolve() }),
      );
    } finally {
      output.write = write;
      removeListeners();
    }
    const expected = before.map((count) => count + 1);
    expect(handlersAtAnnouncement).to.deep.equal(expected);
  });
});
