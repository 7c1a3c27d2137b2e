/** Guards against a process that stops for good because the clock of its machine was set back before it restarted. */
import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { MemberTable, MEMBER_LEASE_MS } from '../../src/control/member-table.js';
import { Follower, HEARTBEAT_INTERVAL_MS } from '../../src/follower/follower.js';
import type { ControlTransport, Exchange } from '../../src/http/control-client.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import type { Heartbeat } from '../../src/sync/heartbeat.js';
import { HEARTBEAT_PATH } from '../../src/sync/sync-protocol.js';
import { advance } from '../support/test-follower.js';

const STEP_MS = 50;
const REVISION = 1;
const ORIGINS = ['first', 'second'];

/** Links of processes to replicas that keep the real table of members. */
class TableLink implements ControlTransport {
  readonly tables: Map<string, MemberTable>;

  constructor(private readonly clock: VirtualClock) {
    this.tables = new Map(ORIGINS.map((origin) => [origin, new MemberTable(clock.now())]));
  }

  send<Answer>(origin: string, path: string, message: unknown): Promise<Exchange<Answer>> {
    // Syncs are held for ever; only heartbeats matter here.
    if (path !== HEARTBEAT_PATH) return new Promise(() => undefined);
    const table = this.tables.get(origin)!;
    const reply = table.onHeartbeat(message as Heartbeat, this.clock.now(), REVISION, true);
    return Promise.resolve({ type: 'answered', answer: reply as Answer });
  }
}

describe('a process that restarts after its clock was set back', () => {
  let clock: VirtualClock;
  let link: TableLink;

  beforeEach(() => {
    clock = new VirtualClock();
    link = new TableLink(clock);
  });

  /** Starts a process with the id that all processes of these tests have. */
  function start(incarnation: number) {
    const state = { supersededCount: 0 };
    const follower = new Follower({
      clock,
      client: link,
      controlOrigins: ORIGINS,
      random: { next: () => 0, nextInt: () => 0 },
      logger: SILENT_LOGGER,
      identity: () => ({
        id: 'edge-1',
        role: 'edge',
        incarnation,
        zone: 'zone-a',
        service: undefined,
        origin: undefined,
        claimEpoch: 0,
      }),
      onConfiguration: () => undefined,
      onEndpoints: () => undefined,
      onSuperseded: () => (state.supersededCount += 1),
    });
    follower.start();
    return { follower, state };
  }

  it('goes on, and is accepted when the lease of the earlier one has ended', async () => {
    const earlier = start(9);
    await advance(clock, HEARTBEAT_INTERVAL_MS, STEP_MS);
    earlier.follower.stop();
    const { follower, state } = start(1);
    await advance(clock, MEMBER_LEASE_MS + 2 * HEARTBEAT_INTERVAL_MS, STEP_MS);
    expect(state.supersededCount).to.equal(0);
    for (const table of link.tables.values()) {
      expect(table.list().map(({ incarnation }) => incarnation)).to.deep.equal([1]);
    }
    follower.stop();
  });

  it('goes on though a replica that knows nothing of the earlier one accepts it', async () => {
    const earlier = start(9);
    await advance(clock, HEARTBEAT_INTERVAL_MS, STEP_MS);
    earlier.follower.stop();
    link.tables.set('second', new MemberTable(clock.now()));
    const { follower, state } = start(1);
    await advance(clock, 2 * HEARTBEAT_INTERVAL_MS, STEP_MS);
    expect(state.supersededCount).to.equal(0);
    follower.stop();
  });

  it('still stops for a newer process once it has been accepted', async () => {
    const older = start(1);
    await advance(clock, HEARTBEAT_INTERVAL_MS, STEP_MS);
    const newer = start(9);
    await advance(clock, 2 * HEARTBEAT_INTERVAL_MS, STEP_MS);
    expect(older.state.supersededCount).to.be.above(0);
    expect(newer.state.supersededCount).to.equal(0);
    older.follower.stop();
    newer.follower.stop();
  });
});
