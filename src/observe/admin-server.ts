/** The admin server of a program, with `/metrics`, `/healthz` and `/readyz`. Metrics are collected on each scrape. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { Registry, collectDefaultMetrics } from 'prom-client';
import type { ListenAddress, ListenContext } from '../http/listen.js';
import { ListeningServer } from '../http/listening-server.js';
import { registerProcessMetrics } from './process-metrics.js';

/** Options of an admin server. */
export interface AdminOptions {
  readonly address: ListenAddress;
  readonly context: ListenContext;
  readonly registry: Registry;
  /** Reports whether the program accepts work, and the reason if it does not. */
  readonly readiness: () => ReadinessReport;
}

/** Result of a readiness check, served at `/readyz`. */
export interface ReadinessReport {
  readonly ready: boolean;
  readonly detail: string;
}

/** Sampling interval of the event loop delay. Each sample wakes the process, 100 times a second by default. */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 1_000;

/** Creates a metrics registry with the metrics of the process. */
export function createMetricsRegistry(): Registry {
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS,
  });
  registerProcessMetrics(registry);
  return registry;
}

/** Starts the admin server of a program. */
export async function startAdminServer(options: AdminOptions): Promise<ListeningServer> {
  const handle: RequestListener = (message, response) => {
    handleAdminRequest(options, message, response).catch(() => {
      // Not logged: a metric that can't be collected, which whoever scrapes it sees.
      response.destroy();
    });
  };
  return ListeningServer.start(options.address, handle, options.context);
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
