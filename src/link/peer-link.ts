/** The calling side of a link to another sidecar. Frames are queued until the connection is open. */
import { connect, type Socket } from 'node:net';
import { Readable } from 'node:stream';
import { SYSTEM_CLOCK } from '../common/clock.js';
import { InFlightCalls } from './in-flight-calls.js';
import { LinkConnection } from './link-connection.js';
import type { LinkFrame } from './link-frames.js';
import { LinkStream, type LinkCall, type LinkCallListener } from './link-stream.js';
import type { HeartbeatMonitor } from './heartbeat-monitor.js';

/** Connect timeout. */
const CONNECT_TIMEOUT_MS = 500;
/**
 * Idle time after which a link is probed with a ping before a call is sent. If the peer went down unnoticed, calls that
 * were sent without a probe would fail as "may have run".
 */
const PROBE_AFTER_MS = 1_000;
/** Probe timeout. Exceeds the round-trip time between regions. */
const PROBE_TIMEOUT_MS = 300;

/**
 * - `connecting`: the connection is being established; frames are queued.
 * - `probing`: a ping was sent after a long idle time; frames are queued.
 * - `open`: frames are sent immediately.
 *
 * A closed link keeps its last state: calls may have reached the peer only if it was `open`.
 */
type LinkState = 'connecting' | 'probing' | 'open';

export class PeerLink {
  private state: LinkState = 'connecting';
  private probeTimer: NodeJS.Timeout | undefined;
  private readonly connection: LinkConnection;
  private readonly calls: InFlightCalls<LinkStream>;
  private nextId = 1;
  /** Frames to send once the link is open. */
  private queuedFrames: LinkFrame[] = [];

  constructor(
    origin: string,
    private readonly token: string,
    heartbeats: HeartbeatMonitor,
    private readonly onClosed: () => void,
  ) {
    const { hostname, port } = new URL(origin);
    const socket = connect({ host: hostname, port: Number(port) });
    this.connection = new LinkConnection(socket, heartbeats, {
      onFrame: (frame) => this.onFrame(frame),
      onClose: () => this.onClose(),
    });
    this.calls = new InFlightCalls(this.connection);
    this.awaitConnection(socket);
  }

  /** Whether frames are sent immediately instead of queued. */
  get isOpen(): boolean {
    return this.state === 'open';
  }

  /** Whether the peer has not answered heartbeats lately and must not get new calls. */
  get isSuspect(): boolean {
    return this.connection.isSuspect;
  }

  get isIdle(): boolean {
    return this.calls.isEmpty;
  }

  has(id: number): boolean {
    return this.calls.has(id);
  }

  call(call: LinkCall, listener: LinkCallListener): LinkStream {
    if (this.isIdle && this.isOpen) this.probeIfStale();
    const id = this.nextId;
    this.nextId += 1;
    const stream = new LinkStream(this, id, listener);
    this.calls.add(id, stream);
    const { body, ...rest } = call;
    if (body instanceof Readable) {
      this.send({ type: 'call', id, ...rest });
      void stream.sendBody(body);
    } else this.send({ type: 'call', id, ...rest, body });
    return stream;
  }

  send(frame: LinkFrame): void {
    if (this.isOpen) this.connection.send(frame);
    else this.queuedFrames.push(frame);
  }

  /** Cancels a call at the peer, or removes its frames from the queue if they have not been sent. */
  cancelCall(id: number): void {
    if (this.isOpen) this.connection.send({ type: 'cancel', id });
    else
      this.queuedFrames = this.queuedFrames.filter((frame) => !('id' in frame) || frame.id !== id);
  }

  /** Removes a call. @returns whether it was in flight */
  release(id: number): boolean {
    return this.calls.release(id);
  }

  finish(): void {
    this.connection.finish();
  }

  close(): void {
    this.connection.close();
  }

  private awaitConnection(socket: Socket): void {
    const timeout = setTimeout(() => this.connection.close(), CONNECT_TIMEOUT_MS);
    socket.once('close', () => clearTimeout(timeout));
    socket.once('connect', () => {
      clearTimeout(timeout);
      this.connection.send({ type: 'hello', token: this.token });
      this.open();
    });
  }

  private open(): void {
    this.state = 'open';
    for (const frame of this.queuedFrames) this.connection.send(frame);
    this.queuedFrames = [];
  }

  private probeIfStale(): void {
    if (SYSTEM_CLOCK.now() - this.connection.lastReceivedAt < PROBE_AFTER_MS) return;
    this.state = 'probing';
    this.connection.ping();
    // Reads data that arrived while this process was stalled before the probe counts as failed.
    this.probeTimer = setTimeout(() => setImmediate(() => this.onProbeTimeout()), PROBE_TIMEOUT_MS);
  }

  private onProbeTimeout(): void {
    if (this.state === 'probing') this.connection.close();
  }

  private onFrame(frame: LinkFrame): void {
    if (this.state === 'probing') {
      clearTimeout(this.probeTimer);
      this.open();
    }
    if ('id' in frame) this.calls.get(frame.id)?.onFrame(frame);
  }

  private onClose(): void {
    this.onClosed();
    clearTimeout(this.probeTimer);
    for (const call of this.calls.releaseAll()) call.onClose(this.isOpen);
  }
}
