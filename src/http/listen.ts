/**
 * Binds a server of any protocol to an address. An address that is in use or does not exist yet is retried: the process before may
 * still be ending, another one may use the port for an outgoing connection, or the machine may still be getting its addresses.
 */
import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { ListenError } from '../common/errors.js';
import { type Logger, SILENT_LOGGER } from '../common/logger.js';
import { MS_PER_SECOND } from '../common/units.js';

/**
 * Time for which an address is retried, in milliseconds. Longer than a former process takes to end, and short enough that a
 * supervisor soon learns of an address that stays in use.
 */
const BIND_TIMEOUT_MS = 5_000;
/** Delay between tries, in milliseconds; also limits the log lines about them. */
const BIND_RETRY_MS = 250;
/** Errors that may go away without a change of the settings. */
const RETRIED_CODES: readonly string[] = ['EADDRINUSE', 'EADDRNOTAVAIL'];
/** Minimum time between log lines about errors of a listening server, in milliseconds. */
const ERROR_LINE_INTERVAL_MS = MS_PER_SECOND;

/** Address to listen on. Port 0 selects any free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** For whom an address is bound. */
export interface ListenContext {
  /** Name of the setting that holds the address. */
  readonly setting: string;
  readonly logger: Logger;
  /** Time of the last try, on the clock of `performance.now()`. */
  readonly retryUntil: number;
}

/**
 * Creates the contexts of a program's addresses, by the names of their settings. They share one deadline, so that the waits for
 * several addresses do not add up.
 */
export function listenContexts(logger: Logger): (setting: string) => ListenContext {
  const retryUntil = performance.now() + BIND_TIMEOUT_MS;
  return (setting) => ({ setting, logger, retryUntil });
}

/** For servers that no setting names. */
const NO_RETRY: ListenContext = { setting: '', logger: SILENT_LOGGER, retryUntil: -Infinity };

/**
 * Starts listening. From then on errors of the server, such as those of `accept`, are logged.
 * @returns its origin, `http://ADDRESS:PORT`
 * @throws ListenError when the address cannot be bound
 */
export async function listen(
  server: Server,
  address: ListenAddress,
  context: ListenContext = NO_RETRY,
): Promise<string> {
  while (!(await tryToBind(server, address, context))) await delay(BIND_RETRY_MS);
  server.on('error', new ServerErrorLog(context).onError);
  const bound = server.address() as AddressInfo;
  const host = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address;
  return `http://${host}:${bound.port}`;
}

/** @returns false if the address should be tried again. @throws ListenError */
async function tryToBind(
  server: Server,
  { host, port }: ListenAddress,
  { setting, logger, retryUntil }: ListenContext,
): Promise<boolean> {
  try {
    await once(server.listen(port, host), 'listening');
    return true;
  } catch (cause) {
    const { code = '' } = cause as NodeJS.ErrnoException;
    const address = host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
    const remainingMs = Math.round(retryUntil - performance.now());
    if (!RETRIED_CODES.includes(code) || remainingMs <= 0) {
      throw new ListenError(`Could not listen at ${address} (setting '${setting}').`, { cause });
    }
    logger.warn('Could not listen; retrying.', { address, setting, code, remainingMs });
    return false;
  }
}

/** Logs errors of a listening server, at a limited rate. The server accepts connections afterwards as before. */
class ServerErrorLog {
  private lastLineAt = -Infinity;
  private suppressed = 0;

  constructor(private readonly context: ListenContext) {}

  readonly onError = (error: Error): void => {
    const now = performance.now();
    if (now - this.lastLineAt < ERROR_LINE_INTERVAL_MS) {
      this.suppressed += 1;
      return;
    }
    const { setting, logger } = this.context;
    const { suppressed } = this;
    logger.error('A listening server failed.', { setting, error: String(error), suppressed });
    this.lastLineAt = now;
    this.suppressed = 0;
  };
}
