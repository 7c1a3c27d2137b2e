/**
 * Guards against printing the origins before the signal handlers are installed: a supervisor that sends SIGTERM on that line
 * would kill the process instead of stopping it gracefully.
 */
import { expect } from 'chai';
import { z } from 'zod';
import { runProgram } from '../../src/cli/run-program.js';
import { getStandardOutput } from '../../src/common/line-output.js';

const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
const settingsSchema = z.object({
  id: z.string().default('program-1'),
  logLevel: z.literal('error').default('error'),
});

describe('a program that says which addresses it has', () => {
  it('can be stopped in order from then on', async () => {
    const before = new Map(SIGNALS.map((signal) => [signal, process.listeners(signal)]));
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
      for (const signal of SIGNALS) {
        for (const listener of process.listeners(signal)) {
          if (!before.get(signal)!.includes(listener)) process.off(signal, listener);
        }
      }
    }
    const expected = SIGNALS.map((signal) => before.get(signal)!.length + 1);
    expect(handlersAtAnnouncement).to.deep.equal(expected);
  });
});
