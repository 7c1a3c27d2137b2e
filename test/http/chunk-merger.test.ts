import { expect } from 'chai';
import fc from 'fast-check';
import { setImmediate } from 'node:timers/promises';
import { ChunkMerger } from '../../src/http/chunk-merger.js';

const MERGED_BYTES = 16 * 1024;

/** Guards against a heap full of tiny chunks, which ended a process whose clients did not read. */
describe('the chunks of a body that arrive in one turn', () => {
  function startMerger(): { written: Buffer[]; merger: ChunkMerger } {
    const written: Buffer[] = [];
    return { written, merger: new ChunkMerger((chunk) => written.push(chunk)) };
  }

  it('are written as few large ones', async () => {
    const { written, merger } = startMerger();
    for (let each = 0; each < 20_000; each += 1) merger.add(Buffer.from('whole'));
    await setImmediate();
    expect(Buffer.concat(written).toString()).to.equal('whole'.repeat(20_000));
    expect(written.length).to.be.at.most(Math.ceil(100_000 / (MERGED_BYTES - 5)));
  });

  it('are the bytes that came, in their order, whatever their sizes', async () => {
    const sizes = fc.array(
      fc.oneof(
        fc.constant('flush' as const),
        fc.constant('turn' as const),
        fc.integer({ min: 0, max: 40 }),
        fc.integer({ min: MERGED_BYTES - 2, max: MERGED_BYTES + 2 }),
      ),
    );
    await fc.assert(
      fc.asyncProperty(sizes, async (steps) => {
        const { written, merger } = startMerger();
        const sent: Buffer[] = [];
        for (const [index, step] of steps.entries()) {
          if (step === 'flush') merger.flush();
          else if (step === 'turn') await setImmediate();
          else {
            sent.push(Buffer.alloc(step, index));
            merger.add(sent.at(-1)!);
          }
        }
        merger.flush();
        expect(Buffer.concat(written).equals(Buffer.concat(sent))).to.equal(true);
      }),
      { seed: 7, numRuns: 200 },
    );
  });

  it('are written by the end of the turn, a single one without a copy', async () => {
    const { written, merger } = startMerger();
    const only = Buffer.from('whole');
    merger.add(only);
    expect(written).to.deep.equal([]);
    await setImmediate();
    expect(written).to.have.length(1);
    expect(written[0]).to.equal(only);
  });

  // Two chunks of five bytes in each of many turns kept 16 KiB each time.
  it('keep no more than their own memory where they are few', async () => {
    const { written, merger } = startMerger();
    const held = new Set<ArrayBufferLike>();
    for (let turn = 0; turn < 500; turn += 1) {
      merger.add(Buffer.from('whole'));
      merger.add(Buffer.from('whole'));
      await setImmediate();
      held.add(written.at(-1)!.buffer);
    }
    const heldBytes = [...held].reduce((sum, { byteLength }) => sum + byteLength, 0);
    expect(heldBytes).to.be.below(500 * 1_024);
  });

  it('are dropped by a cancelled attempt', async () => {
    const { written, merger } = startMerger();
    merger.add(Buffer.from('whole'));
    merger.clear();
    await setImmediate();
    expect(written).to.deep.equal([]);
  });
});
