/**
 * One TCP connection between two sidecars: encodes and decodes frames. Frames of one event loop turn are sent in a single
 * write.
 */
import { SYSTEM_CLOCK } from '../common/clock.js';
import type { Socket } from 'node:net';
import { encodeFrame, FrameReader } from './frame-codec.js';
import type { LinkFrame } from './link-frames.js';
import type { HeartbeatMonitor, MonitoredPeer } from './heartbeat-monitor.js';

/** Receives the events of a connection. */
export interface LinkConnectionListener {
  onFrame(frame: LinkFrame): void;
  /** Called once, when the connection is closed. */
  onClose(): void;
}

/** A frame that is held back until the end of the event loop turn, so that more data can be added to it. */
export interface PendingFrame {
  /** Sends the frame unless it has been sent already. */
  sendPending(): void;
}

export class LinkConnection implements MonitoredPeer {
  private readonly reader = new FrameReader();
  /** Encoded frames of this turn, not yet written to the socket. */
  private unsentFrames: Buffer[] = [];
  private flushScheduled = false;
  /** Frames to complete at the end of this turn. */
  private pendingFrames: PendingFrame[] = [];
  silentSince = SYSTEM_CLOCK.now();
  lastPingAt = -Infinity;
  isSuspect = false;
  /** Monotonic time in milliseconds at which data was last received, initially the creation of this object. */
  lastReceivedAt = SYSTEM_CLOCK.now();
  private closed = false;

  constructor(
    private readonly socket: Socket,
    private readonly heartbeats: HeartbeatMonitor,
    private readonly listener: LinkConnectionListener,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => this.onData(bytes));
    // The error is dropped: every call in flight on the link fails and logs its own outcome.
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
  }

  /** Sends a frame at the end of this event loop turn. Does nothing once the connection is closed. */
  send(frame: LinkFrame): void {
    if (this.closed) return;
    this.unsentFrames.push(encodeFrame(frame));
    this.scheduleFlush();
  }

  /** Calls `pending.sendPending` at the end of this event loop turn. */
  sendLater(pending: PendingFrame): void {
    this.pendingFrames.push(pending);
    this.scheduleFlush();
  }

  /** Starts or stops heartbeats. The peer is monitored only while calls are in flight. */
  setBusy(isBusy: boolean): void {
    if (isBusy && !this.closed) this.heartbeats.add(this);
    else this.heartbeats.remove(this);
  }

  ping(): void {
    this.send({ type: 'ping' });
  }

  /** Sends pending frames and half-closes the connection, which closes once the peer has ended its side too. */
  finish(): void {
    this.flush();
    if (!this.closed) this.socket.end();
  }

  /** Closes the connection immediately and discards unsent frames. */
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
      // The rest of the stream cannot be decoded either. Calls in flight fail as after a lost connection.
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
