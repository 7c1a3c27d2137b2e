import { expect } from 'chai';
import { LineOutput } from '../../src/common/line-output.js';
import { createLogger } from '../../src/common/logger.js';
import { until } from '../support/processes.js';

const KEPT_BYTES = 256 * 1024;
const LINE = `${'x'.repeat(1023)}\n`;

/** A descriptor that takes `room` bytes, then fails with `code`. */
class ScriptedDescriptor {
  written = '';
  room = Infinity;
  code = 'EAGAIN';

  readonly write = (bytes: Uint8Array): number => {
    if (this.room <= 0) throw Object.assign(new Error('refused'), { code: this.code });
    const taken = bytes.subarray(0, this.room);
    this.room -= taken.length;
    this.written += Buffer.from(taken).toString();
    return taken.length;
  };
}

describe('lines that cannot be written', () => {
  let descriptor: ScriptedDescriptor;
  let output: LineOutput;

  beforeEach(() => {
    descriptor = new ScriptedDescriptor();
    output = new LineOutput(descriptor.write);
  });

  it('are written in order, none twice, when a slow reader makes room', () => {
    const lines = Array.from({ length: 50 }, (_, index) => `line ${index}\n`);
    descriptor.room = 10;
    for (const line of lines) {
      output.write(line);
      descriptor.room = 3;
      output.flush();
    }
    descriptor.room = Infinity;
    output.flush();
    expect(descriptor.written).to.equal(lines.join(''));
  });

  for (const code of ['EAGAIN', 'EPIPE', 'ENOSPC', 'EIO']) {
    it(`are kept up to a limit, then counted, and the count is logged once: ${code}`, () => {
      const logger = createLogger('program', 'one', 'error', output);
      descriptor.room = 0;
      descriptor.code = code;
      for (let line = 0; line < 1_000; line += 1) output.write(LINE);
      descriptor.room = Infinity;
      output.flush();
      logger.error('After.');
      const written = descriptor.written.split('\n').filter(Boolean);
      const kept = written.filter((line) => `${line}\n` === LINE);
      expect(kept).to.have.length(KEPT_BYTES / LINE.length);
      const [loss, after, ...more] = written
        .slice(kept.length)
        .map((line) => JSON.parse(line) as Record<string, unknown>);
      expect(loss).to.include({ msg: 'log: Lost log lines.', level: 50, cause: code });
      expect(loss?.lines).to.equal(1_000 - kept.length);
      expect(after).to.include({ msg: 'program: After.' });
      expect(more).to.deep.equal([]);
    });
  }

  it('are not cut by a line that is written at once', () => {
    descriptor.room = 2;
    output.write('one\n');
    expect(output.writeNow('two\n')).to.equal(false);
    descriptor.room = Infinity;
    expect(output.writeNow('three\n')).to.equal(true);
    descriptor.room = 0;
    expect(output.writeNow('four\n')).to.equal(false);
    descriptor.room = 2;
    expect(output.writeNow('five\n')).to.equal(true);
    descriptor.room = Infinity;
    output.flush();
    expect(descriptor.written).to.equal('one\nthree\nfive\n');
  });

  it('are tried again without a further line', async () => {
    descriptor.room = 0;
    output.write('one\n');
    expect(descriptor.written).to.equal('');
    descriptor.room = Infinity;
    await until(() => descriptor.written === 'one\n');
  });
});
