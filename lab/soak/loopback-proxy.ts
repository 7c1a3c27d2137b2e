/**
 * A TCP proxy on loopback in front of one server. It can do what a loss of power does to connections: the server
 * forgets them, and nothing tells the client. And it can let them fall silent for good: they stay open on both
 * sides, and bytes vanish. New connections work in either case.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Directions in which a connection is silent. */
export interface SilentDirections {
  readonly toServer: boolean;
  readonly toClient: boolean;
}

export class LoopbackProxy {
  /** Client's side of every connection, with the server's side while it is known there. */
  private readonly connections = new Map<Socket, Socket | undefined>();

  private readonly silenced = new Map<Socket, SilentDirections>();

  private constructor(
    private readonly server: Server,
    private readonly targetPort: number,
  ) {
    server.on('connection', (client) => this.onConnection(client));
  }

  /** @param port port to listen on; a free one if absent */
  static async start(targetPort: number, port = 0): Promise<LoopbackProxy> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
    return new LoopbackProxy(server, targetPort);
  }

  get origin(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** The server forgets all open connections; clients see them as open. New ones are passed on. */
  forgetConnections(): void {
    for (const [client, upstream] of this.connections) {
      this.connections.set(client, undefined);
      client.removeAllListeners('data');
      upstream?.destroy();
    }
  }

  /** What is sent on the open connections vanishes from now on, in the directions given. */
  silence(directions: SilentDirections): void {
    for (const client of this.connections.keys()) this.silenced.set(client, directions);
  }

  /** Resets all open connections on both sides. */
  reset(): void {
    for (const [client, upstream] of this.connections) {
      client.resetAndDestroy();
      upstream?.resetAndDestroy();
    }
  }

  stop(): void {
    this.server.close();
    for (const [client, upstream] of this.connections) {
      client.destroy();
      upstream?.destroy();
    }
  }

  private onConnection(client: Socket): void {
    const upstream = connect(this.targetPort, '127.0.0.1');
    this.connections.set(client, upstream);
    const isKnown = (): boolean => this.connections.get(client) !== undefined;
    client.on('data', (bytes) => {
      if (this.silenced.get(client)?.toServer !== true) upstream.write(bytes);
    });
    upstream.on('data', (bytes) => {
      if (isKnown() && this.silenced.get(client)?.toClient !== true) client.write(bytes);
    });
    for (const side of [client, upstream]) {
      // The other side hears of it by the close that follows.
      side.on('error', () => side.destroy());
    }
    client.on('close', () => {
      this.connections.delete(client);
      this.silenced.delete(client);
      upstream.destroy();
    });
    upstream.on('close', () => {
      if (isKnown()) client.destroy();
    });
  }
}
