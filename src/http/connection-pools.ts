/**
 * Undici connection pools keyed by origin. A pool is created on first use and closed when its origin is no longer listed.
 */
import { Pool, type buildConnector, type Dispatcher } from 'undici';

/** Timeout for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Keep-alive timeout of idle connections, in milliseconds. Shorter than that of `ListeningServer`, so that no request is
 * sent on a connection that the server is closing.
 */
const KEEP_ALIVE_MS = 10_000;

/** Options of every pool of a {@link ConnectionPools}. */
export interface PoolOptions {
  /** Maximum number of connections per origin. */
  readonly connections: number;
  /** Keep-alive timeout of idle connections, in milliseconds. Default 10,000. */
  readonly keepAliveMs?: number;
  /** Opens the connections. Default: undici's connector. */
  readonly connector?: buildConnector.connector;
}

/** Creates a pool for one origin. Undici's timeouts are off, as each call has its own deadline. */
export function createPool(origin: string, options: PoolOptions): Pool {
  return new Pool(origin, {
    connections: options.connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: options.keepAliveMs ?? KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS,
    connect: options.connector ?? { timeout: CONNECT_TIMEOUT_MS },
  });
}

export class ConnectionPools {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly options: PoolOptions) {}

  /** Returns the pool for `origin`, creating it on first use. */
  get(origin: string): Dispatcher {
    let pool = this.pools.get(origin);
    if (pool === undefined) {
      pool = createPool(origin, this.options);
      this.pools.set(origin, pool);
    }
    return pool;
  }

  /** Closes the pools of all other origins, each after its last call. */
  retain(origins: ReadonlySet<string>): void {
    for (const [origin, pool] of this.pools) {
      if (origins.has(origin)) continue;
      this.pools.delete(origin);
      void pool.close();
    }
  }

  /** Destroys all pools and aborts the calls in flight. */
  async destroy(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}
