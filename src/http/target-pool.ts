/**
 * Connection pool of a node to its target, limited to the number of connections that the service declares. Sidecars have
 * a pool of their own in `src/membership`, which distinguishes incarnations of a target.
 */
import type { Dispatcher, Pool } from 'undici';
import { CONNECT_TIMEOUT_MS, createPool } from './connection-pools.js';
import { ConnectionResetDetector } from './connection-reset-detector.js';

export class TargetPool {
  private pool: Pool;
  private readonly resets = new ConnectionResetDetector(CONNECT_TIMEOUT_MS);

  constructor(
    private readonly origin: string,
    private connections: number,
  ) {
    this.pool = this.open();
  }

  /** Dispatcher for the next call. */
  get dispatcher(): Dispatcher {
    return this.pool;
  }

  /** Whether a response that ends now was truncated by a connection reset. */
  get isResetting(): boolean {
    return this.resets.isResetting;
  }

  /** Changes the maximum number of connections. Calls in flight finish on the old pool. */
  configure(connections: number): void {
    if (connections === this.connections) return;
    const replaced = this.pool;
    this.connections = connections;
    this.pool = this.open();
    void replaced.close();
  }

  /** Closes all connections immediately. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }

  private open(): Pool {
    const { origin, connections, resets } = this;
    return createPool(origin, { connections, connector: resets.connector });
  }
}
