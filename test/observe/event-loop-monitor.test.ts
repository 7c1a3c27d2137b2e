import { expect } from 'chai';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { EventLoopMonitor, SAMPLE_INTERVAL_MS } from '../../src/observe/event-loop-monitor.js';
import { ProductProcess } from '../support/product-process.js';

const FAILING_PROGRAM = fileURLToPath(new URL('../support/failing-program.js', import.meta.url));

describe('the monitor of the event loop', function () {
  this.timeout(30_000);
  afterEach(() => ProductProcess.killRemaining());

  it('keeps the longest delay until it is read', () => {
    const monitor = new EventLoopMonitor();
    let at = 100;
    for (const delayMs of [0, 40, 3, -1]) {
      monitor.onSample({ at, cpuMs: 0 });
      at += SAMPLE_INTERVAL_MS + delayMs;
    }
    monitor.onSample({ at, cpuMs: 0 });
    expect(monitor.takeMaxDelayMs()).to.equal(40);
    expect(monitor.takeMaxDelayMs()).to.equal(0);
  });

  it('logs a delay of a second or more, with the processor time that it took', async () => {
    const child = ProductProcess.start([FAILING_PROGRAM, 'holds-event-loop']);
    const origins = await child.announcement();
    await request(origins!.listen!);
    const line = await child.line('process: The event loop was held up.');
    expect(line).to.include({ level: 40, processId: 'failing-1' });
    expect(line!.delayMs).to.be.at.least(1_000);
    expect(line!.cpuMs).to.be.above(0);
    child.kill('SIGTERM');
    expect(await child.ended).to.deep.equal({ code: 0, signal: null });
  });
});
