/**
 * Looks after the peers of busy connections with one timer a process: asks those that have been
 * silent for a sign of life, and gives up those that stay silent.
 */
import { SYSTEM_CLOCK } from '../common/clock.js';

/** A connection whose peer is looked after. */
export interface WatchedPeer {
  /** Monotonic milliseconds at which the peer was last heard, or its connection became busy. */
  heardAt: number;
  /** Monotonic milliseconds at which it was last asked for a sign of life. */
  pingedAt: number;
  /** Whether the peer has been silent for so long that it is to get no new calls. */
  isSuspect: boolean;
  ping(): void;
  close(): void;
}

const CHECK_INTERVAL_MS = 100;
/** Silence after which a busy peer is asked for a sign of life: longer than most calls take. */
const PING_AFTER_MS = 200;
/**
 * Silence after which a busy peer gets no new calls: it has not answered a ping for at least 150 ms, more than a way
 * there and back between regions. Calls written to a link that is cut are lost as "may have run"; before, they were for
 * the whole time until the link was given up.
 */
const SUSPECT_AFTER_MS = 450;
const GIVE_UP_AFTER_MS = 1_400;
/** A check that comes this late means that this process stood still, not its peers. */
const LATE_CHECK_MS = 250;
/** Least time from one ping to the next, in milliseconds: a peer may work on a call for long. */
const PING_GAP_MS = 250;

export class PeerWatch {
  private readonly peers = new Set<WatchedPeer>();
  private timer: NodeJS.Timeout | undefined;
  private checkedAt = 0;

  /** Begins to look after a peer. */
  add(peer: WatchedPeer): void {
    if (this.peers.has(peer)) return;
    peer.heardAt = SYSTEM_CLOCK.now();
    this.peers.add(peer);
    if (this.timer !== undefined) return;
    this.checkedAt = SYSTEM_CLOCK.now();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  /** Stops looking after a peer. */
  remove(peer: WatchedPeer): void {
    this.peers.delete(peer);
    peer.isSuspect = false;
    if (this.peers.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private check(): void {
    const now = SYSTEM_CLOCK.now();
    const stoodStill = now - this.checkedAt > LATE_CHECK_MS;
    this.checkedAt = now;
    for (const peer of [...this.peers]) {
      if (stoodStill) peer.heardAt = now;
      const silentMs = now - peer.heardAt;
      peer.isSuspect = silentMs >= SUSPECT_AFTER_MS;
      if (silentMs >= GIVE_UP_AFTER_MS) peer.close();
      else if (silentMs >= PING_AFTER_MS && now - peer.pingedAt >= PING_GAP_MS) {
        peer.pingedAt = now;
        peer.ping();
      }
    }
  }
}
