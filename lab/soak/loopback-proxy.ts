/**
 * A TCP proxy on loopback in front of one server. It simulates a power loss of the server (open connections are lost
 * without a FIN or RST to the client) and links that drop all bytes while both ends stay connected. New connections
 * work in either case.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Directions in which bytes are dropped. */
export interface SilentDirections {
  readonly toServer: boolean;
  readonly toClient: boolean;
}

export class LoopbackProxy {
  /** Server-side sockets by client-side socket; undefined once the server has lost the connection. */
  private readonly connections = new Map<Socket, Socket | undefined>();

  private readonly silenced = new Map<Socket, SilentDirections>();

  private constructor(
    private readonly server: Server,
    private readonly targetPort: number,
  ) {
    server.on('connection', (client) => this.onConnection(client));
  }

  /** @param port port to listen on; 0 selects a free one */
  static async start(targetPort: number, port = 0): Promise<LoopbackProxy> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
    return new LoopbackProxy(server, targetPort);
  }

  get origin(): string {
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Drops the server side of all open connections; clients still see them as open. */
  forgetConnections(): void {
    for (const [client, upstream] of this.connections) {
      this.connections.set(client, undefined);
      client.removeAllListeners('data');
      upstream?.destroy();
    }
  }

  /** Drops all further bytes on the connections open now, in the given directions. */
  silence(directions: SilentDirections): void {
    for (const client of this.connections.keys()) this.silenced.set(client, directions);
  }

  /** Resets both sides of all open connections. */
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
    const isForwarding = (): boolean => this.connections.get(client) !== undefined;
    client.on('data', (bytes) => {
      if (this.silenced.get(client)?.toServer !== true) upstream.write(bytes);
    });
    upstream.on('data', (bytes) => {
      if (isForwarding() && this.silenced.get(client)?.toClient !== true) client.write(bytes);
    });
    for (const side of [client, upstream]) {
      // The 'close' event that follows closes the other side.
      side.on('error', () => side.destroy());
    }
    client.on('close', () => {
      this.connections.delete(client);
      this.silenced.delete(client);
      upstream.destroy();
    });
    upstream.on('close', () => {
      if (isForwarding()) client.destroy();
    });
  }
}
