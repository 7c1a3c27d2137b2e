/** Control replicas that answer nothing of use, and record which of them were asked. */
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

export class SeedReplicas {
  private readonly asked = new Set<number>();

  private constructor(private readonly servers: readonly Server[]) {}

  static async start(count: number): Promise<SeedReplicas> {
    const servers = Array.from({ length: count }, () => createServer());
    for (const server of servers) await once(server.listen(0, '127.0.0.1'), 'listening');
    const replicas = new SeedReplicas(servers);
    servers.forEach((server, index) =>
      server.on('request', (_request, response) => {
        replicas.asked.add(index);
        response.writeHead(503).end();
      }),
    );
    return replicas;
  }

  origin(index: number): string {
    return `http://127.0.0.1:${(this.servers[index]!.address() as AddressInfo).port}`;
  }

  wasAsked(index: number): boolean {
    return this.asked.has(index);
  }

  close(): void {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}
