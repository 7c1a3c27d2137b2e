/** Accepts link connections from other sidecars and passes their calls to a handler. */
import { createServer, type Server } from 'node:net';
import { listen, type ListenAddress, type ListenContext } from '../http/listen.js';
import type { LinkCallHandler } from './incoming-link-call.js';
import { HeartbeatMonitor } from './heartbeat-monitor.js';
import { ServerLink } from './server-link.js';

export class LinkServer {
  private readonly links = new Set<ServerLink>();
  private readonly heartbeats = new HeartbeatMonitor();

  private constructor(
    private readonly server: Server,
    /** Origin that other sidecars connect to, `http://ADDRESS:PORT`. */
    readonly origin: string,
  ) {}

  /** Starts listening. @throws ListenError if the address cannot be bound */
  static async start(
    address: ListenAddress,
    token: string,
    handler: LinkCallHandler,
    context?: ListenContext,
  ): Promise<LinkServer> {
    const server = createServer();
    const started = new LinkServer(server, await listen(server, address, context));
    server.on('connection', (socket) => {
      const link: ServerLink = new ServerLink(socket, started.heartbeats, token, handler, () =>
        started.links.delete(link),
      );
      started.links.add(link);
    });
    return started;
  }

  /**
   * Stops accepting connections and half-closes the open ones after their pending frames have been sent.
   * Resolves when the peers have closed them too.
   */
  async finish(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      for (const link of this.links) link.finish();
    });
  }

  /** Stops accepting connections and closes the open ones immediately. */
  destroy(): void {
    this.server.close();
    for (const link of [...this.links]) link.close();
  }
}
