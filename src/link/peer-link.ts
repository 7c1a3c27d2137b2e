/**
 * The connection to one other sidecar, at its calling side.
 *
 * For: `link-pool.ts`. Owns: the state of the connection, the calls under way on it, and the frames that wait until it
 * is open. Relies on: `link-connection.ts` to send frames and to end when the peer stays silent.
 */
import { connect, type Socket } from 'node:net';
import { Readable } from 'node:stream';
import { SYSTEM_CLOCK } from '../common/clock.js';
import { InFlightCalls } from './calls-under-way.js';
import { LinkConnection } from './link-connection.js';
import type { LinkFrame } from './link-frames.js';
import { LinkStream, type LinkCall, type LinkCallListener } from './link-stream.js';
import type { HeartbeatMonitor } from './peer-watch.js';

/** Longest wait for a connection to be made, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
/**
 * A link that has been idle for this long is asked for a sign of life before a call is written to it, in milliseconds:
 * its peer may have lost power and forgotten it, and the first calls were lost then as "may have run". The figure is not
 * measured; `test/link/silent-link.test.ts` holds what it is for.
 */
const PROBE_AFTER_MS = 1_000;
/** Longest wait for that sign, in milliseconds: longer than a way there and back between regions. */
const PROBE_TIMEOUT_MS = 300;

/**
 * `connecting`: the connection is being made. `probing`: it was idle for long, and the peer was asked for a sign of life.
 * In both, frames wait. `open`: frames are written at once. A connection that ends keeps its last state: a call may have
 * reached the peer if that was `open`.
 */
type LinkState = 'connecting' | 'probing' | 'open';

export class PeerLink {
  private state: LinkState = 'connecting';
  private probeTimer: NodeJS.Timeout | undefined;
  private readonly connection: LinkConnection;
  private readonly calls: InFlightCalls<LinkStream>;
  private nextId = 1;
  /** Frames that wait until the link is open. */
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

  /** Whether frames are written at once. */
  get isOpen(): boolean {
    return this.state === 'open';
  }

  /** Whether the peer has fallen silent while calls are under way: it gets no new ones. */
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

  /** Tells the peer that a call is over; one that has not been written yet is never sent. */
  cancelCall(id: number): void {
    if (this.isOpen) this.connection.send({ type: 'cancel', id });
    else
      this.queuedFrames = this.queuedFrames.filter((frame) => !('id' in frame) || frame.id !== id);
  }

  /** Forgets a call. @returns whether it was under way */
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
    // What arrived while this process stood still is read before the peer is given up.
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
