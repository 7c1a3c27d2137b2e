/**
 * A stub back end: an HTTP server in front of the back end model of the simulator. The lab controls it through paths
 * below `/lab/`.
 */
import { openSync, writeSync } from 'node:fs';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent, request } from 'undici';
import { SystemClock } from '../../src/common/clock.js';
import { SeededRandom } from '../../src/common/random.js';
import { answerBody } from '../model/answer-body.js';
import { BackendModel, type ExecutionRecord } from '../model/backend-model.js';
import type { NestedCallModel, ServiceModel } from '../model/deployment.js';
import type { Cancellable } from '../model/cancellable.js';

/** Carries the id of the logical request in every attempt and nested call. */
export const LAB_ID_HEADER = 'lab-id';
const DEADLINE_HEADER = 'shoredoor-deadline-ms';
const DEFAULT_DEADLINE_MS = 60_000;

/** Paths of the commands that the lab sends to a back end. */
export const BACKEND_COMMANDS = {
  slow: '/lab/slow',
  cold: '/lab/cold',
  outbound: '/lab/outbound',
} as const;

export interface BackendProcess {
  readonly origin: string;
  close(): void;
}

/**
 * Starts a back end on a free port of the loopback interface.
 * @param recordFile receives a line per execution, written synchronously, so that it survives a kill of the process
 */
export async function startBackend(
  service: ServiceModel,
  seed: number,
  recordFile: string | undefined,
): Promise<BackendProcess> {
  const recordDescriptor = recordFile === undefined ? undefined : openSync(recordFile, 'a');
  const clock = new SystemClock();
  const agent = new Agent({ connections: 64, headersTimeout: 0, bodyTimeout: 0 });
  const traceparentOf = new Map<string, string>();
  let outboundOrigin = '';

  const callOut = (
    call: NestedCallModel,
    labId: string,
    done: (status: number) => void,
  ): Cancellable => {
    const abort = new AbortController();
    const root = labId.slice(0, labId.lastIndexOf('/'));
    const trace = service.passesContext ? traceparentOf.get(root) : undefined;
    request(outboundOrigin + call.path, {
      method: call.method,
      dispatcher: agent,
      signal: abort.signal,
      headers: {
        host: call.service,
        [LAB_ID_HEADER]: labId,
        ...(trace === undefined ? {} : { traceparent: trace }),
      },
    })
      .then(async (response) => {
        await response.body.dump();
        done(response.statusCode);
      })
      .catch(() => done(0));
    return { cancel: () => abort.abort() };
  };
  const onExecution = (record: ExecutionRecord): void => {
    if (recordDescriptor === undefined) return;
    const startedAt = performance.timeOrigin + record.startedAt;
    writeSync(recordDescriptor, `${JSON.stringify({ ...record, startedAt })}\n`);
  };
  const random = new SeededRandom(seed);
  const model = new BackendModel(clock, random, service, callOut, onExecution);

  const serve = (message: IncomingMessage, response: ServerResponse): void => {
    const labId = String(message.headers[LAB_ID_HEADER] ?? 'unnamed');
    const remainingMs = Number(message.headers[DEADLINE_HEADER] ?? DEFAULT_DEADLINE_MS);
    const { traceparent } = message.headers;
    if (typeof traceparent === 'string') traceparentOf.set(labId, traceparent);
    message.resume();
    const call = model.accept(
      {
        labId,
        method: message.method ?? 'GET',
        path: message.url ?? '/',
        deadlineAt: clock.now() + remainingMs,
      },
      (status, bytes) => {
        const body = status === 200 ? answerBody(labId, bytes) : '';
        response.writeHead(status, { 'content-length': Buffer.byteLength(body) });
        response.end(body);
      },
    );
    response.once('close', () => {
      traceparentOf.delete(labId);
      if (!response.writableFinished) call?.cancel();
    });
  };

  const handleCommand = async (
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const chunks: Buffer[] = [];
    for await (const chunk of message) chunks.push(chunk as Buffer);
    const text = Buffer.concat(chunks).toString('utf8');
    const body = (text === '' ? {} : JSON.parse(text)) as Record<string, number | string>;
    if (message.url === BACKEND_COMMANDS.slow) model.setSlowFactor(Number(body.factor));
    else if (message.url === BACKEND_COMMANDS.outbound) outboundOrigin = String(body.origin);
    else if (message.url === BACKEND_COMMANDS.cold) {
      model.beginColdStart({ factor: Number(body.factor), durationMs: Number(body.durationMs) });
    }
    response.end('{}');
  };

  const server = createServer((message, response) => {
    if (message.url?.startsWith('/lab/') === true) void handleCommand(message, response);
    else serve(message, response);
  });
  server.keepAliveTimeout = 30_000;
  server.maxConnections = service.connections;
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return {
    origin: `http://127.0.0.1:${port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
