/** A process that logs lines: those of its first argument at once, the rest one every `argv[3]` milliseconds. */
import { createLogger } from '../../src/common/logger.js';

const PADDING = 'x'.repeat(400);

const [, , atOnce = '0', intervalMs = '10'] = process.argv;
const logger = createLogger('writer', 'writer-1', 'info');
let sequence = 0;

function logOne(): void {
  sequence += 1;
  logger.info('A line.', { sequence, padding: PADDING });
}

while (sequence < Number(atOnce)) logOne();
setInterval(logOne, Number(intervalMs));
// Shows the test that the event loop runs on.
process.on('message', () => process.send?.({ sequence, rssBytes: process.memoryUsage.rss() }));
