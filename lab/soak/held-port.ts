/** A loopback port in use by another process: connections to it are closed at once. */
import { once } from 'node:events';
import { createServer, type Server } from 'node:net';

export class HeldPort {
  private constructor(private readonly server: Server) {}

  /** @throws when the port is in use already */
  static async hold(port: number): Promise<HeldPort> {
    const server = createServer((socket) => socket.destroy());
    await once(server.listen(port, '127.0.0.1'), 'listening');
    return new HeldPort(server);
  }

  async release(): Promise<void> {
    if (!this.server.listening) return;
    await once(this.server.close(), 'close');
  }
}
