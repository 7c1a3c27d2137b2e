/**
 * Serves /metrics, /healthz and /readyz of a program: whether it runs, whether it is to be given work, and its counters.
 * Owns its server; relies on the program to say whether it is ready, and reads all metrics when they are scraped.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Registry, collectDefaultMetrics } from 'prom-client';
import type { ListenAddress } from '../http/listen.js';
import { ListeningServer } from '../http/listening-server.js';

/** What an admin server shows. */
export interface AdminOptions {
  readonly address: ListenAddress;
  readonly registry: Registry;
  /** Whether the program takes work; the reason when it does not. */
  readonly readiness: () => ReadinessReport;
}

/** The answer of /readyz. */
export interface ReadinessReport {
  readonly ready: boolean;
  readonly detail: string;
}

/**
 * Time between two looks at the delay of the event loop, in milliseconds. Each one wakes the process:
 * at prom-client's default of 10 an idle process wakes a hundred times a second for nothing else.
 */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 1_000;

/** A metrics registry with the process's own metrics. */
export function createMetricsRegistry(): Registry {
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS,
  });
  return registry;
}

/** Starts the admin server of a program. */
export async function startAdminServer(options: AdminOptions): Promise<ListeningServer> {
  return ListeningServer.start(options.address, (message, response) => {
    void handleAdminRequest(options, message, response);
  });
}

async function handleAdminRequest(
  options: AdminOptions,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (message.url === '/metrics') {
    const text = await options.registry.metrics();
    writeText(response, 200, text, options.registry.contentType);
  } else if (message.url === '/healthz') {
    writeText(response, 200, 'ok\n');
  } else if (message.url === '/readyz') {
    const report = options.readiness();
    writeText(response, report.ready ? 200 : 503, `${report.detail}\n`);
  } else {
    writeText(response, 404, 'Paths: /metrics, /healthz, /readyz.\n');
  }
}

function writeText(
  response: ServerResponse,
  status: number,
  text: string,
  type = 'text/plain; charset=utf-8',
): void {
  response.writeHead(status, { 'Content-Type': type, 'Content-Length': Buffer.byteLength(text) });
  response.end(text);
}
