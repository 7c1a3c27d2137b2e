/**
 * The node's connections to its target, at most as many as the service declares.
 *
 * For: the inbound side of a node; sidecars use `src/membership/instance-pool.ts`, which tells incarnations of a target
 * apart. Owns: the pool in use. Relies on: undici to let calls under way finish on a pool that is closed.
 */
import type { Dispatcher, Pool } from 'undici';
import { createPool } from './connection-pools.js';

export class TargetPool {
  private pool: Pool;

  constructor(
    private readonly origin: string,
    private connections: number,
  ) {
    this.pool = createPool(origin, { connections });
  }

  /** Where the next call goes. */
  get dispatcher(): Dispatcher {
    return this.pool;
  }

  /** Adopts a changed number. Calls under way finish on their connections. */
  configure(connections: number): void {
    if (connections === this.connections) return;
    const replaced = this.pool;
    this.connections = connections;
    this.pool = createPool(this.origin, { connections });
    void replaced.close();
  }

  /** Ends every connection at once. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }
}
