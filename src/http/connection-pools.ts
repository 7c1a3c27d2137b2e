/**
 * Undici connection pools by origin, made when first used and closed when no longer listed.
 *
 * For: edges and nodes, for calls and claims to other nodes. Owns: the pools. Relies on: whoever sends for every time
 * limit but that of making a connection, and on its follower to say which origins are listed.
 */
import { Pool, type buildConnector, type Dispatcher } from 'undici';

/** Longest time for a connection to be made, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are closed after this long, in milliseconds: before our own servers close them, after 30 s. */
const KEEP_ALIVE_MS = 10_000;

/** Options of every pool of a {@link ConnectionPools}. */
export interface PoolOptions {
  /** Most connections to one origin. */
  readonly connections: number;
  /** Idle connections are closed after this long, in milliseconds. Default 10,000. */
  readonly keepAliveMs?: number;
  /** Makes the connections. Default: undici's connector. */
  readonly connector?: buildConnector.connector;
}

/** A pool to one origin. Each call has its own deadline, so undici's time limits are off. */
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

  /** The pool to `origin`. */
  get(origin: string): Dispatcher {
    let pool = this.pools.get(origin);
    if (pool === undefined) {
      pool = createPool(origin, this.options);
      this.pools.set(origin, pool);
    }
    return pool;
  }

  /** Closes the pools to origins that are no longer used, after their last call. */
  retain(origins: ReadonlySet<string>): void {
    for (const [origin, pool] of this.pools) {
      if (origins.has(origin)) continue;
      this.pools.delete(origin);
      void pool.close();
    }
  }

  /** Closes every pool at once, breaking calls that are under way. */
  async destroy(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}
