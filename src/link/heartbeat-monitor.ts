/**
 * Heartbeats of links with calls in flight, driven by one timer. Detects an unreachable peer much earlier than TCP does.
 *
 * | no data received for          | action                                                     |
 * | ----------------------------- | ---------------------------------------------------------- |
 * | {@link PING_AFTER_MS}         | pings, repeated every {@link MIN_PING_INTERVAL_MS}         |
 * | {@link SUSPECT_AFTER_MS}      | sends no new calls to the peer                             |
 * | {@link CLOSE_AFTER_MS}        | closes the connection; its calls fail as "may have run"    |
 */
import { SYSTEM_CLOCK } from '../common/clock.js';

/** A connection whose peer is monitored while calls are in flight. */
export interface MonitoredPeer {
  /** Monotonic time in milliseconds at which data was last received or monitoring started, whichever is later. */
  silentSince: number;
  /** Monotonic time in milliseconds of the last ping. */
  lastPingAt: number;
  /** Whether no data was received for so long that the peer must not get new calls. */
  isSuspect: boolean;
  ping(): void;
  close(): void;
}

/** Interval between two checks of the peers. */
const CHECK_INTERVAL_MS = 100;
/** Time without received data after which a peer is pinged. Longer than most calls take. */
const PING_AFTER_MS = 200;
/**
 * Time without received data after which a peer gets no new calls. By then a ping has been unanswered for at least 150 ms,
 * more than a round trip between regions. Until the connection is closed, calls sent to an unreachable peer would fail as
 * "may have run".
 */
const SUSPECT_AFTER_MS = 450;
/** Time without received data after which a connection is closed. Longer than a stall of either process. */
const CLOSE_AFTER_MS = 1_400;
/** Time since the previous check that indicates a stall of this process, for which no peer is blamed. */
const STALL_THRESHOLD_MS = 250;
/** Minimum time between two pings of a peer, which may work on a call for long. */
const MIN_PING_INTERVAL_MS = 250;

export class HeartbeatMonitor {
  private readonly peers = new Set<MonitoredPeer>();
  private timer: NodeJS.Timeout | undefined;
  private lastCheckAt = 0;

  /** Starts monitoring a peer. */
  add(peer: MonitoredPeer): void {
    if (this.peers.has(peer)) return;
    peer.silentSince = SYSTEM_CLOCK.now();
    this.peers.add(peer);
    if (this.timer !== undefined) return;
    this.lastCheckAt = SYSTEM_CLOCK.now();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  /** Stops monitoring a peer. */
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
