/**
 * Guards against printing the origins before the signal handlers are installed: a supervisor that sends SIGTERM on that line
 * would kill the process instead of stopping it gracefully.
 */
import { expect } from 'chai';
import { z } from 'zod';
import { runProgram } from '../../src/cli/run-program.js';

const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
const settingsSchema = z.object({
  id: z.string().default('program-1'),
  logLevel: z.literal('error').default('error'),
});

describe('a program that says which addresses it has', () => {
  it('can be stopped in order from then on', async () => {
    const before = new Map(SIGNALS.map((signal) => [signal, process.listeners(signal)]));
    const write = process.stdout.write.bind(process.stdout);
    const handlersAtAnnouncement: number[] = [];
    process.stdout.write = (text: string | Uint8Array): boolean => {
      if (!String(text).includes('"origins"')) return write(text);
      for (const signal of SIGNALS) handlersAtAnnouncement.push(process.listenerCount(signal));
      return true;
    };
    try {
      await runProgram('test', settingsSchema, {}, () =>
        Promise.resolve({ origins: {}, stop: () => Promise.resolve() }),
      );
    } finally {
      process.stdout.write = write;
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
