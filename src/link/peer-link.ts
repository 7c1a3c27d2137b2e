/** The connection to one other sidecar, at its calling side. */
import { SYSTEM_CLOCK } from '../common/clock.js';
import { connect } from 'node:net';
import { Readable } from 'node:stream';
import { LinkConnection } from './link-connection.js';
import type { LinkFrame } from './link-frames.js';
import { LinkStream, type LinkCall, type LinkCallListener } from './link-stream.js';
import type { PeerWatch } from './peer-watch.js';

const CONNECT_TIMEOUT_MS = 500;
/**
 * A link that has been idle for this long is asked for a sign of life before a call is written to it, in milliseconds:
 * its peer may have lost power and forgotten it, and the first calls were lost then as "may have run".
 */
const PROBE_AFTER_MS = 1_000;
/** Longest wait for that sign, in milliseconds. */
const PROBE_TIMEOUT_MS = 300;

export class PeerLink {
  private isConnected = false;
  private probe: NodeJS.Timeout | undefined;
  private readonly connection: LinkConnection;
  private readonly streams = new Map<number, LinkStream>();
  private nextId = 1;
  /** Frames that wait until the connection is made, or its peer is heard. */
  private waiting: LinkFrame[] = [];

  constructor(
    origin: string,
    token: string,
    watch: PeerWatch,
    private readonly onClosed: () => void,
  ) {
    const { hostname, port } = new URL(origin);
    const socket = connect({ host: hostname, port: Number(port) });
    const timeout = setTimeout(() => this.connection.close(), CONNECT_TIMEOUT_MS);
    this.connection = new LinkConnection(socket, watch, {
      onFrame: (frame) => this.onFrame(frame),
      onClose: () => {
        clearTimeout(timeout);
        this.onClose();
      },
    });
    socket.once('connect', () => {
      clearTimeout(timeout);
      this.isConnected = true;
      this.connection.send({ type: 'hello', token });
      this.sendWaiting();
    });
  }

  /** Whether frames are written at once. */
  get isOpen(): boolean {
    return this.isConnected && this.probe === undefined;
  }

  /** Whether the peer has fallen silent while calls are under way: it gets no new ones. */
  get isSuspect(): boolean {
    return this.connection.isSuspect;
  }

  get isIdle(): boolean {
    return this.streams.size === 0;
  }

  has(id: number): boolean {
    return this.streams.has(id);
  }

  call(call: LinkCall, listener: LinkCallListener): LinkStream {
    if (this.isIdle && this.isOpen) this.probeIfStale();
    const id = this.nextId;
    this.nextId += 1;
    const stream = new LinkStream(this, id, listener);
    this.streams.set(id, stream);
    this.connection.watchPeer(true);
    const { body, ...rest } = call;
    if (body instanceof Readable) {
      this.send({ type: 'call', id, ...rest });
      void stream.sendBody(body);
    } else this.send({ type: 'call', id, ...rest, body });
    return stream;
  }

  send(frame: LinkFrame): void {
    if (this.isOpen) this.connection.send(frame);
    else this.waiting.push(frame);
  }

  /** Tells the peer that a call is over; one that has not been written yet is never sent. */
  withdraw(id: number): void {
    if (this.isOpen) this.connection.send({ type: 'cancel', id });
    else this.waiting = this.waiting.filter((frame) => !('id' in frame) || frame.id !== id);
  }

  private sendWaiting(): void {
    for (const frame of this.waiting) this.connection.send(frame);
    this.waiting = [];
  }

  private probeIfStale(): void {
    if (SYSTEM_CLOCK.now() - this.connection.arrivedAt < PROBE_AFTER_MS) return;
    this.connection.ping();
    // What arrived while this process stood still is read before the peer is given up.
    this.probe = setTimeout(() => setImmediate(() => this.onProbeTimeout()), PROBE_TIMEOUT_MS);
  }

  private onProbeTimeout(): void {
    if (this.probe !== undefined) this.connection.close();
  }

  private endProbe(): void {
    clearTimeout(this.probe);
    this.probe = undefined;
    this.sendWaiting();
  }

  /** Forgets a call. @returns whether it was under way */
  release(id: number): boolean {
    const existed = this.streams.delete(id);
    if (this.streams.size === 0) this.connection.watchPeer(false);
    return existed;
  }

  finish(): void {
    this.connection.finish();
  }

  close(): void {
    this.connection.close();
  }

  private onFrame(frame: LinkFrame): void {
    if (this.probe !== undefined) this.endProbe();
    if (!('id' in frame)) return;
    this.streams.get(frame.id)?.onFrame(frame);
  }

  private onClose(): void {
    this.onClosed();
    const wasOpen = this.isOpen;
    clearTimeout(this.probe);
    const streams = [...this.streams.values()];
    this.streams.clear();
    for (const stream of streams) stream.onClose(wasOpen);
  }
}
