/**
 * Heartbeats of busy links, with one timer for all links of a side: asks peers that have been silent for a sign of life,
 * and gives up those that stay silent. TCP alone notices a machine that lost power after minutes.
 *
 * | silent for                    | what happens                                               |
 * | ----------------------------- | ---------------------------------------------------------- |
 * | {@link PING_AFTER_MS}         | it is pinged, and again each {@link MIN_PING_INTERVAL_MS}           |
 * | {@link SUSPECT_AFTER_MS}      | it gets no new calls                                       |
 * | {@link CLOSE_AFTER_MS}      | the connection is closed; its calls end as "may have run"  |
 *
 * For: `link-pool.ts` and `link-server.ts`. Owns: the timer and the set of busy peers. Relies on: each connection to note
 * when anything arrived.
 */
import { SYSTEM_CLOCK } from '../common/clock.js';

/** A connection whose peer is watched while calls are under way. */
export interface MonitoredPeer {
  /** Monotonic milliseconds since which the peer is silent: anything last arrived, or its connection became busy. */
  silentSince: number;
  /** Monotonic milliseconds at which it was last asked for a sign of life. */
  lastPingAt: number;
  /** Whether the peer has been silent for so long that it is to get no new calls. */
  isSuspect: boolean;
  ping(): void;
  close(): void;
}

/** Time between two looks at the peers, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/**
 * Silence after which a busy peer is asked for a sign of life, in milliseconds: longer than most calls take.
 */
const PING_AFTER_MS = 200;
/**
 * Silence after which a busy peer gets no new calls, in milliseconds: it has not answered a ping for at least 150 ms, more
 * than a way there and back between regions. Without this bound, calls are written to a link that is cut, and lost as "may
 * have run", until it is given up. `test/link/silent-link.test.ts` holds that.
 */
const SUSPECT_AFTER_MS = 450;
/**
 * Silence after which the link is given up, in milliseconds: longer than a way there and back between regions and than a
 * stall of either process (docs/PROOFS.md).
 */
const CLOSE_AFTER_MS = 1_400;
/**
 * A check that comes this long after the one before means that this process stood still, not its peers. In milliseconds.
 */
const STALL_THRESHOLD_MS = 250;
/** Least time from one ping to the next, in milliseconds: a peer may work on a call for long. */
const MIN_PING_INTERVAL_MS = 250;

export class HeartbeatMonitor {
  private readonly peers = new Set<MonitoredPeer>();
  private timer: NodeJS.Timeout | undefined;
  private lastCheckAt = 0;

  /** Watches a peer from now on. */
  add(peer: MonitoredPeer): void {
    if (this.peers.has(peer)) return;
    peer.silentSince = SYSTEM_CLOCK.now();
    this.peers.add(peer);
    if (this.timer !== undefined) return;
    this.lastCheckAt = SYSTEM_CLOCK.now();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  /** Watches a peer no more. */
  remove(peer: MonitoredPeer): void {
    this.peers.delete(peer);
    peer.isSuspect = false;
    if (this.peers.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private check(): void {
    const now = SYSTEM_CLOCK.now();
    const wasStalled = now - this.lastCheckAt > STALL_THRESHOLD_MS;
    this.lastCheckAt = now;
    for (const peer of [...this.peers]) {
      if (wasStalled) peer.silentSince = now;
      const silentMs = now - peer.silentSince;
      peer.isSuspect = silentMs >= SUSPECT_AFTER_MS;
      if (silentMs >= CLOSE_AFTER_MS) peer.close();
      else if (silentMs >= PING_AFTER_MS && now - peer.lastPingAt >= MIN_PING_INTERVAL_MS) {
        peer.lastPingAt = now;
        peer.ping();
      }
    }
  }
}
