/** Sends requests to one origin and measures their latencies. */
import { Pool } from 'undici';

const CONNECTIONS = 64;
const BENCH_PATH = '/bench/item';

/** The results of one load run. */
export interface LoadResult {
  /** Latencies of successful requests, in milliseconds, ascending. */
  readonly latenciesMs: readonly number[];
  readonly failed: number;
  readonly durationMs: number;
}

/** Generates load on one origin. Connections stay open between runs. */
export class LoadGenerator {
  private readonly pool: Pool;

  /** @param headers sent with each request */
  constructor(
    origin: string,
    private readonly headers: Readonly<Record<string, string>> = {},
  ) {
    this.pool = new Pool(origin, { connections: CONNECTIONS, pipelining: 1 });
  }

  /** Sends at a constant rate, regardless of responses (open loop). */
  async runAtRate(callsPerSecond: number, calls: number): Promise<LoadResult> {
    const startedAt = performance.now();
    const results = await Promise.all(
      Array.from({ length: calls }, async (_, index) => {
        const dueAt = startedAt + (index * 1_000) / callsPerSecond;
        await new Promise((resolve) => setTimeout(resolve, dueAt - performance.now()));
        return this.send();
      }),
    );
    return toResult(results, performance.now() - startedAt);
  }

  /** Keeps `concurrency` requests in flight until `calls` were sent (closed loop). */
  async runConcurrently(concurrency: number, calls: number): Promise<LoadResult> {
    const startedAt = performance.now();
    const results: number[] = [];
    let remaining = calls;
    const worker = async (): Promise<void> => {
      while (remaining > 0) {
        remaining -= 1;
        results.push(await this.send());
      }
    };
    await Promise.all(Array.from({ length: concurrency }, worker));
    return toResult(results, performance.now() - startedAt);
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  /** Sends one request. @returns its latency in milliseconds, or NaN if it failed */
  private async send(): Promise<number> {
    const sentAt = performance.now();
    try {
      const response = await this.pool.request({
        method: 'GET',
        path: BENCH_PATH,
        headers: this.headers,
      });
      await response.body.dump();
      return response.statusCode === 200 ? performance.now() - sentAt : Number.NaN;
    } catch {
      return Number.NaN;
    }
  }
}

function toResult(results: readonly number[], durationMs: number): LoadResult {
  const good = results.filter((value) => !Number.isNaN(value)).sort((a, b) => a - b);
  return { latenciesMs: good, failed: results.length - good.length, durationMs };
}

/** @throws when any of the requests failed */
export function failOnErrors(name: string, ...results: readonly LoadResult[]): void {
  const failed = results.reduce((sum, result) => sum + result.failed, 0);
  if (failed > 0) throw new Error(`${name}: ${failed} requests failed`);
}

/** Returns a quantile of ascending latencies. @param fraction 0 to 1 */
export function quantile(latenciesMs: readonly number[], fraction: number): number {
  return latenciesMs[Math.floor(fraction * (latenciesMs.length - 1))] ?? Number.NaN;
}
