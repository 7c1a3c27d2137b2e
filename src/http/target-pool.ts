/**
 * Connection pool of a node to its target, limited to the number of connections that the service declares. Sidecars have
 * a pool of their own in `src/membership`, which distinguishes incarnations of a target.
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

  /** Dispatcher for the next call. */
  get dispatcher(): Dispatcher {
    return this.pool;
  }

  /** Changes the maximum number of connections. Calls in flight finish on the old pool. */
  configure(connections: number): void {
    if (connections === this.connections) return;
    const replaced = this.pool;
    this.connections = connections;
    this.pool = createPool(this.origin, { connections });
    void replaced.close();
  }

  /** Closes all connections immediately. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }
}
