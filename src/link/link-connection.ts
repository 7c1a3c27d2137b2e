/**
 * One TCP connection between two sidecars: sends frames, those of one turn of the event loop in one write, and cuts what
 * arrives into frames.
 *
 * For: both sides of a link. Owns: the socket, and the frames that were not written yet. Relies on: `peer-watch.ts` to
 * notice a peer that has fallen silent while calls are under way.
 */
import { SYSTEM_CLOCK } from '../common/clock.js';
import type { Socket } from 'node:net';
import { encodeFrame, FrameReader } from './frame-codec.js';
import type { LinkFrame } from './link-frames.js';
import type { HeartbeatMonitor, MonitoredPeer } from './peer-watch.js';

/** Told what happens on a connection. */
export interface LinkConnectionListener {
  onFrame(frame: LinkFrame): void;
  /** The connection is over. Called once. */
  onClose(): void;
}

/** Holds a frame back until the end of the turn, in case more of it comes. */
export interface PendingFrame {
  /** Sends the frame if it was not sent since. */
  sendPending(): void;
}

export class LinkConnection implements MonitoredPeer {
  private readonly reader = new FrameReader();
  /** Frames of this turn, not written yet. */
  private unsentFrames: Buffer[] = [];
  private flushScheduled = false;
  /** What still has a frame to send at the end of this turn. */
  private pendingFrames: PendingFrame[] = [];
  silentSince = SYSTEM_CLOCK.now();
  lastPingAt = -Infinity;
  isSuspect = false;
  /** Monotonic milliseconds at which anything last arrived, or the connection was made. */
  lastReceivedAt = SYSTEM_CLOCK.now();
  private closed = false;

  constructor(
    private readonly socket: Socket,
    private readonly heartbeats: HeartbeatMonitor,
    private readonly listener: LinkConnectionListener,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => this.onData(bytes));
    // The error is not kept: every call on the link ends with it, and its own log line says how.
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
  }

  /** Sends a frame with the others of this turn. */
  send(frame: LinkFrame): void {
    if (this.closed) return;
    this.unsentFrames.push(encodeFrame(frame));
    this.scheduleFlush();
  }

  /** Has `pending` send its frame at the end of this turn. */
  sendLater(pending: PendingFrame): void {
    this.pendingFrames.push(pending);
    this.scheduleFlush();
  }

  /** While calls are under way, the peer is looked after. */
  setBusy(isBusy: boolean): void {
    if (isBusy && !this.closed) this.heartbeats.add(this);
    else this.heartbeats.remove(this);
  }

  ping(): void {
    this.send({ type: 'ping' });
  }

  /** Sends what still waits, then ends this side; the connection is over once the peer has ended its own. */
  finish(): void {
    this.flush();
    if (!this.closed) this.socket.end();
  }

  /** Ends the connection at once. What was not written yet is lost. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.heartbeats.remove(this);
    this.socket.destroy();
    this.listener.onClose();
  }

  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    setImmediate(() => this.flush());
  }

  private flush(): void {
    const { pendingFrames } = this;
    this.pendingFrames = [];
    for (const each of pendingFrames) each.sendPending();
    this.flushScheduled = false;
    const { unsentFrames } = this;
    this.unsentFrames = [];
    if (this.closed || unsentFrames.length === 0) return;
    this.socket.write(unsentFrames.length === 1 ? unsentFrames[0]! : Buffer.concat(unsentFrames));
  }

  private onData(bytes: Buffer): void {
    this.lastReceivedAt = SYSTEM_CLOCK.now();
    this.silentSince = this.lastReceivedAt;
    this.isSuspect = false;
    let frames: LinkFrame[];
    try {
      frames = this.reader.read(bytes);
    } catch {
      // Not a frame, so the rest of the stream can't be read either. The calls end as if the connection had been lost.
      this.close();
      return;
    }
    for (const frame of frames) this.onFrame(frame);
  }

  private onFrame(frame: LinkFrame): void {
    if (this.closed) return;
    if (frame.type === 'ping') this.send({ type: 'pong' });
    else this.listener.onFrame(frame);
  }
}
