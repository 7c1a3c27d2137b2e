/**
 * A TCP proxy on loopback in front of one server. It can do what a loss of power does to connections:
 * the server forgets them, and nothing tells the client.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

export class LoopbackProxy {
  /** Client's side of every connection, with the server's side while it is known there. */
  private readonly connections = new Map<Socket, Socket | undefined>();

  private constructor(
    private readonly server: Server,
    private readonly targetPort: number,
  ) {
    server.on('connection', (client) => this.onConnection(client));
  }

  /** Listens on a free port. */
  static async start(targetPort: number): Promise<LoopbackProxy> {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
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
    client.on('data', (bytes) => upstream.write(bytes));
    upstream.on('data', (bytes) => {
      if (isKnown()) client.write(bytes);
    });
    for (const side of [client, upstream]) {
      // The other side hears of it by the close that follows.
      side.on('error', () => side.destroy());
    }
    client.on('close', () => {
      this.connections.delete(client);
      upstream.destroy();
    });
    upstream.on('close', () => {
      if (isKnown()) client.destroy();
    });
  }
}
