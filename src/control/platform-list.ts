/**
 * Polls the platform's list of live and leaving machines. The list lags and can be wrong, so it is only used to take endpoints
 * out; a failed read is logged and changes nothing.
 */
import { request } from 'undici';
import { z } from 'zod';
import type { Clock, Timer } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import { HttpStatus } from '../common/http-status.js';

const listSchema = z.object({
  machines: z.array(
    z.object({
      /** IP address, with a port when several targets share the address. */
      address: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Timeout of one read in milliseconds. */
const TIMEOUT_MS = 2_000;

export interface PlatformListOptions {
  readonly clock: Clock;
  readonly url: string;
  readonly intervalMs: number;
  readonly logger: Logger;
  /** Called with the addresses of all leaving machines after each successful read. */
  readonly onLeaving: (addresses: ReadonlySet<string>) => void;
}

export class PlatformListReader {
  private timer: Timer | undefined;
  private stopped = false;

  constructor(private readonly options: PlatformListOptions) {}

  start(): void {
    void this.readRepeatedly();
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  private async readRepeatedly(): Promise<void> {
    const { clock, intervalMs, logger, url, onLeaving } = this.options;
    try {
      const addresses = await readLeavingAddresses(url);
      if (!this.stopped) onLeaving(addresses);
    } catch (error) {
      logger.warn('Could not read the platform list.', { url, error: String(error) });
    }
    if (!this.stopped) {
      this.timer = clock.schedule(intervalMs, () => void this.readRepeatedly());
    }
  }
}

async function readLeavingAddresses(url: string): Promise<ReadonlySet<string>> {
  const response = await request(url, { signal: AbortSignal.timeout(TIMEOUT_MS) });
  if (response.statusCode !== HttpStatus.Ok) {
    await response.body.dump();
    // Caught by the reader, which logs it.
    throw new Error(`the platform list responded with status ${response.statusCode}`);
  }
  const { machines } = listSchema.parse(await response.body.json());
  const leaving = machines.filter((machine) => machine.state === 'leaving');
  return new Set(leaving.map((machine) => machine.address));
}
