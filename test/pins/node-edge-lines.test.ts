/** Pins the log lines of a node and an edge from start to stop, except for their addresses. */
import { expect } from 'chai';
import { startEdge } from '../../src/programs/edge-program.js';
import { startNode } from '../../src/programs/node-program.js';
import { edgeSettingsSchema, nodeSettingsSchema } from '../../src/settings/schemas.js';
import { CapturedLines } from '../support/captured-lines.js';

const ANY_ADDRESS = '127.0.0.1:0';
const UNREACHABLE_ORIGIN = 'http://127.0.0.1:1';
const ORIGIN = /^http:\/\/127\.0\.0\.1:\d+$/;

const COMMON = {
  id: 'pinned',
  zone: 'zone-a',
  admin: ANY_ADDRESS,
  control: [UNREACHABLE_ORIGIN],
  linkToken: 'test-link-token-0123456789',
  stop: { drainMs: 0, timeoutMs: 0 },
};

describe('the log lines of a node and of an edge', () => {
  it('are these for a node', async () => {
    const captured = new CapturedLines('node', 'pinned-node');
    try {
      const addresses = { inbound: ANY_ADDRESS, outbound: ANY_ADDRESS };
      const settings = nodeSettingsSchema.parse({
        ...COMMON,
        ...addresses,
        service: 'ledger',
        target: { origin: UNREACHABLE_ORIGIN },
      });
      const node = await startNode(settings, captured.logger);
      await node.stop();
    } finally {
      captured.end();
    }
    expect(captured.shapes).to.include.members([
      '30 node: Stopping; waiting for calls in flight. {inFlight}',
      '30 node: Listening. {admin, inbound, outbound}',
      '30 node: Stopped. {}',
      '30 follower: A sync failed. {detail, failure, heldMs, origin}',
    ]);
    const [listening] = captured.of('node: Listening.');
    expect(listening!.inbound).to.match(ORIGIN);
    expect(listening!.admin).to.match(ORIGIN);
  });

  it('are these for an edge', async () => {
    const captured = new CapturedLines('edge', 'pinned-edge');
    try {
      const settings = edgeSettingsSchema.parse({ ...COMMON, listen: ANY_ADDRESS });
      const edge = await startEdge(settings, captured.logger);
      await edge.stop();
    } finally {
      captured.end();
    }
    expect(captured.shapes).to.include.members([
      '30 edge: Listening. {admin, origin}',
      '30 edge: Stopped. {}',
      '30 edge: Stopping; reporting not ready and waiting for calls in flight. {inFlight}',
    ]);
  });
});
