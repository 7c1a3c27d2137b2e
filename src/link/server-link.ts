/**
 * The called side of a link. The peer must authenticate with the link token in a hello frame; before that, any frame
 * except heartbeats closes the connection.
 */
import type { Socket } from 'node:net';
import { isSameToken } from '../http/link-token.js';
import { InFlightCalls } from './in-flight-calls.js';
import { IncomingLinkCall, type LinkCallHandler } from './incoming-link-call.js';
import { LinkConnection, type PendingFrame } from './link-connection.js';
import type { LinkFrame } from './link-frames.js';
import type { HeartbeatMonitor } from './heartbeat-monitor.js';

export class ServerLink {
  private readonly connection: LinkConnection;
  private readonly calls: InFlightCalls<IncomingLinkCall>;
  private isAuthenticated = false;

  constructor(
    socket: Socket,
    heartbeats: HeartbeatMonitor,
    private readonly token: string,
    private readonly handler: LinkCallHandler,
    onClosed: () => void,
  ) {
    this.connection = new LinkConnection(socket, heartbeats, {
      onFrame: (frame) => this.onFrame(frame),
      onClose: () => {
        onClosed();
        for (const call of this.calls.releaseAll()) call.onCancelled();
      },
    });
    this.calls = new InFlightCalls(this.connection);
  }

  send(frame: LinkFrame): void {
    this.connection.send(frame);
  }

  sendLater(pending: PendingFrame): void {
    this.connection.sendLater(pending);
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

  private onFrame(frame: LinkFrame): void {
    if (frame.type === 'pong') return;
    if (frame.type === 'hello') this.isAuthenticated = isSameToken(frame.token, this.token);
    if (!this.isAuthenticated) {
      this.connection.close();
      return;
    }
    if (frame.type === 'call') {
      const call = new IncomingLinkCall(frame, this);
      this.calls.add(frame.id, call);
      this.handler(call);
    } else if ('id' in frame) this.calls.get(frame.id)?.onFrame(frame);
  }
}
