/** The called side of the links: takes connections from other sidecars and their calls. */
import { timingSafeEqual } from 'node:crypto';
import { EventEmitter } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { Readable } from 'node:stream';
import type { Outcome } from '../call/outcome.js';
import type { AnswerSink } from '../http/answer-sink.js';
import type { RawHeaders } from '../http/header-filter.js';
import type { ListenAddress } from '../http/listening-server.js';
import { BodyWindow } from './body-window.js';
import { LinkConnection, type PendingFrame } from './link-connection.js';
import { PeerWatch } from './peer-watch.js';
import type { CallFrame, HeadFrame, LinkFrame } from './link-frames.js';

const NO_BYTES = Buffer.alloc(0);

/** Takes the calls that arrive. */
export type LinkCallHandler = (call: IncomingLinkCall) => void;

/** A call that arrived, and the sink of its answer. Emits `cancel` when the caller is gone. */
export class IncomingLinkCall extends EventEmitter implements AnswerSink, PendingFrame {
  /** The outcome to send with the answer's head; taken once. */
  takeOutcome: (() => Outcome) | undefined;
  /** The whole body, or a stream of it. */
  readonly body: Buffer | Readable | null;
  private readonly window = new BodyWindow();
  private readonly incoming: Readable | undefined;
  /** The head of the answer, until it is known whether the rest comes in the same turn. */
  private pendingHead: HeadFrame | undefined;
  private pendingBody: Buffer | undefined;

  constructor(
    readonly frame: CallFrame,
    private readonly link: ServerLink,
  ) {
    super();
    if (frame.body === undefined) {
      this.incoming = new Readable({ read: () => undefined });
      this.body = this.incoming;
    } else this.body = frame.body;
  }

  /** The gate answers itself. */
  refuse(outcome: Outcome): void {
    const { id } = this.frame;
    if (this.link.release(id)) this.link.send({ type: 'refused', id, outcome });
  }

  writeHead(status: number, headers: RawHeaders): void {
    const outcome = this.takeOutcome!();
    this.pendingHead = { type: 'head', id: this.frame.id, status, headers, outcome };
    this.link.sendLater(this);
  }

  write(chunk: Buffer): boolean {
    if (this.pendingHead !== undefined && this.pendingBody === undefined) {
      this.pendingBody = chunk;
      return true;
    }
    this.sendPending();
    return this.sendData(chunk);
  }

  /** The rest of the answer did not come in the turn of its head. */
  sendPending(): void {
    const { pendingHead, pendingBody } = this;
    if (pendingHead === undefined) return;
    this.pendingHead = undefined;
    this.pendingBody = undefined;
    this.link.send(pendingHead);
    if (pendingBody !== undefined) this.sendData(pendingBody);
  }

  private sendData(chunk: Buffer): boolean {
    this.link.send({ type: 'data', id: this.frame.id, bytes: chunk });
    this.window.onSent(chunk.length);
    return this.window.isOpen;
  }

  end(): void {
    const { id } = this.frame;
    const { pendingHead, pendingBody } = this;
    this.pendingHead = undefined;
    if (!this.link.release(id)) return;
    if (pendingHead === undefined) this.link.send({ type: 'end', id });
    else this.link.send({ ...pendingHead, type: 'answer', body: pendingBody ?? NO_BYTES });
  }

  destroy(): void {
    const { id } = this.frame;
    this.sendPending();
    if (this.link.release(id)) this.link.send({ type: 'broken', id });
  }

  onFrame(frame: LinkFrame): void {
    switch (frame.type) {
      case 'cancel':
        this.onCallerGone();
        return;
      case 'taken':
        this.window.onTaken(frame.bytes);
        if (this.window.isOpen) this.emit('drain');
        return;
      case 'data':
        this.onBody(frame.bytes);
        return;
      case 'end':
        this.incoming?.push(null);
        return;
      case 'broken':
        this.incoming?.destroy(new Error('the body broke off'));
        return;
      default:
      // Only the calling side gets the others.
    }
  }

  /** The caller, or its connection, is gone. */
  onCallerGone(): void {
    this.link.release(this.frame.id);
    this.pendingHead = undefined;
    this.incoming?.destroy(new Error('the caller is gone'));
    this.emit('cancel');
  }

  private onBody(bytes: Buffer): void {
    const { incoming } = this;
    if (incoming === undefined || incoming.destroyed) return;
    incoming.push(bytes);
    const { id } = this.frame;
    const report = (): void => this.link.send({ type: 'taken', id, bytes: bytes.length });
    if (incoming.readableLength <= incoming.readableHighWaterMark) report();
    else incoming.once('readable', report);
  }
}

/** One connection from another sidecar. */
class ServerLink {
  private readonly connection: LinkConnection;
  private readonly calls = new Map<number, IncomingLinkCall>();
  private isTrusted = false;

  constructor(
    socket: Socket,
    watch: PeerWatch,
    private readonly token: Buffer,
    private readonly handler: LinkCallHandler,
    onClosed: () => void,
  ) {
    this.connection = new LinkConnection(socket, watch, {
      onFrame: (frame) => this.onFrame(frame),
      onClose: () => {
        onClosed();
        for (const call of [...this.calls.values()]) call.onCallerGone();
      },
    });
  }

  send(frame: LinkFrame): void {
    this.connection.send(frame);
  }

  sendLater(pending: PendingFrame): void {
    this.connection.sendLater(pending);
  }

  /** Forgets a call. @returns whether it was under way */
  release(id: number): boolean {
    const existed = this.calls.delete(id);
    if (this.calls.size === 0) this.connection.watchPeer(false);
    return existed;
  }

  finish(): void {
    this.connection.finish();
  }

  close(): void {
    this.connection.close();
  }

  private onFrame(frame: LinkFrame): void {
    if (frame.type === 'pong') return;
    if (frame.type === 'hello') this.isTrusted = this.isToken(frame.token);
    if (!this.isTrusted) {
      this.connection.close();
      return;
    }
    if (frame.type === 'call') {
      const call = new IncomingLinkCall(frame, this);
      this.calls.set(frame.id, call);
      this.connection.watchPeer(true);
      this.handler(call);
    } else if ('id' in frame) this.calls.get(frame.id)?.onFrame(frame);
  }

  private isToken(presented: string): boolean {
    const bytes = Buffer.from(presented);
    return bytes.length === this.token.length && timingSafeEqual(bytes, this.token);
  }
}

export class LinkServer {
  private readonly links = new Set<ServerLink>();
  private readonly watch = new PeerWatch();

  private constructor(
    private readonly server: Server,
    /** `http://ADDRESS:PORT` that other sidecars connect to. */
    readonly origin: string,
  ) {}

  /** Starts listening. @throws when the address cannot be had */
  static async start(
    address: ListenAddress,
    token: string,
    handler: LinkCallHandler,
  ): Promise<LinkServer> {
    const server = createServer();
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(address.port, address.host, resolve);
    });
    const bound = server.address() as AddressInfo;
    const host = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address;
    const started = new LinkServer(server, `http://${host}:${bound.port}`);
    const expected = Buffer.from(token);
    server.on('connection', (socket) => {
      const link: ServerLink = new ServerLink(socket, started.watch, expected, handler, () =>
        started.links.delete(link),
      );
      started.links.add(link);
    });
    return started;
  }

  /**
   * Takes no connections any more, and ends the open ones once what still waits has been sent. Resolves when their peers
   * have ended them, too.
   */
  async finish(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      for (const link of this.links) link.finish();
    });
  }

  /** Takes no connections any more, and ends the open ones at once. */
  destroy(): void {
    this.server.close();
    for (const link of [...this.links]) link.close();
  }
}
