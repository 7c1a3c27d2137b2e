/**
 * The called side of the links: takes connections from other sidecars.
 *
 * For: the gate's server. Owns: the listening socket, the open links, and the watch over their peers. Relies on: its
 * handler for every call that arrives.
 */
import { createServer, type Server } from 'node:net';
import { listen, type ListenAddress } from '../http/listen.js';
import type { LinkCallHandler } from './incoming-link-call.js';
import { HeartbeatMonitor } from './peer-watch.js';
import { ServerLink } from './server-link.js';

export class LinkServer {
  private readonly links = new Set<ServerLink>();
  private readonly heartbeats = new HeartbeatMonitor();

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
    const started = new LinkServer(server, await listen(server, address));
    server.on('connection', (socket) => {
      const link: ServerLink = new ServerLink(socket, started.heartbeats, token, handler, () =>
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
