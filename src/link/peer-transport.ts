/**
 * Sends the attempts of one routed call to other sidecars and relays the response to the caller. An attempt to a sidecar
 * that does not answer heartbeats fails immediately, as not written.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallContext } from '../call/call-context.js';
import { createFrameContext } from './frame-context.js';
import type { Outcome } from '../call/outcome.js';
import type {
  Attempt,
  AttemptMetadata,
  AttemptListener,
  OutboundTransport,
} from '../call/transport.js';
import type { Clock } from '../common/clock.js';
import { DeferredResponse } from '../http/deferred-response.js';
import { filterEndToEndHeaders, type RawHeaders } from '../http/header-filter.js';
import type { RequestBody } from '../http/request-body.js';
import type { TargetHeaders } from '../http/target-headers.js';
import type { EndpointRecord } from '../call/endpoint.js';
import type { LinkPool } from './link-pool.js';
import type { LinkCallListener, LinkStream } from './link-stream.js';

/** Options that all transports of a sidecar share. */
export interface PeerTransportOptions {
  readonly clock: Clock;
  readonly links: LinkPool;
  readonly names: TargetHeaders;
  /** Lower-case names of request headers to drop, see {@link replacedHeaders}. */
  readonly replacedHeaders: ReadonlySet<string>;
  /** Returns the name of the local service, which is sent to the targets as the calling service. */
  readonly callingService: () => string;
}

/** Returns the request headers that are not forwarded, because this sidecar or the gate sets them. */
export function replacedHeaders(names: TargetHeaders): ReadonlySet<string> {
  return new Set([
    'expect',
    names.callingService,
    names.expectedInstance,
    names.deadlineMs,
    names.apiKey,
    names.group,
  ]);
}

export class PeerTransport implements OutboundTransport {
  private readonly headers: RawHeaders;

  constructor(
    private readonly options: PeerTransportOptions,
    private readonly context: CallContext,
    private readonly message: IncomingMessage,
    private readonly body: RequestBody,
    private readonly response: ServerResponse,
    /** Name of the group that the caller's API key belongs to. */
    group: string | undefined,
  ) {
    const { names, callingService, replacedHeaders } = options;
    this.headers = filterEndToEndHeaders(
      message.rawHeaders,
      message.headers.connection,
      replacedHeaders,
    );
    this.headers.push(names.callingService, callingService());
    if (group !== undefined) this.headers.push(names.group, group);
  }

  get replayable(): boolean {
    return this.body.replayable;
  }

  send(endpoint: EndpointRecord, envelope: AttemptMetadata, listener: AttemptListener): Attempt {
    const { message, body, headers, context } = this;
    const { clock, links } = this.options;
    const attempt = new PeerAttempt(new DeferredResponse(this.response), listener);
    const stream = links.call(
      endpoint.origin,
      {
        context: createFrameContext(context, envelope, clock.now()),
        method: message.method ?? 'GET',
        path: message.url ?? '/',
        headers,
        body: body.content,
      },
      attempt,
    );
    if (stream === undefined) queueMicrotask(() => attempt.onFailure(false));
    else attempt.stream = stream;
    return attempt;
  }
}

/**
 * - `waiting`: no response yet.
 * - `relaying`: the response head was relayed to the caller.
 * - `over`: the attempt completed, failed or was cancelled; later events are ignored.
 */
type AttemptState = 'waiting' | 'relaying' | 'over';

/** One attempt in flight. Relays the response to the caller with backpressure. */
class PeerAttempt implements Attempt, LinkCallListener {
  stream: LinkStream | undefined;
  private state: AttemptState = 'waiting';
  /** Response bytes that are buffered until the caller's connection drains. */
  private bufferedBytes = 0;

  constructor(
    private readonly response: DeferredResponse,
    private readonly listener: AttemptListener,
  ) {}

  get written(): boolean {
    return this.stream?.written ?? false;
  }

  cancel(): void {
    if (this.state === 'over') return;
    this.state = 'over';
    this.stream?.cancel();
  }

  onHead(status: number, headers: RawHeaders, outcome: Outcome): void {
    if (this.state === 'over') return;
    this.state = 'relaying';
    this.listener.onHead({ status, outcome });
    this.response.writeHead(status, headers);
  }

  onAnswer(status: number, headers: RawHeaders, outcome: Outcome, body: Buffer): void {
    if (this.state === 'over') return;
    this.listener.onHead({ status, outcome });
    this.state = 'over';
    this.response.writeHead(status, headers);
    this.response.end(body);
    this.listener.onEnd();
  }

  onRefused(outcome: Outcome): void {
    if (this.state === 'over') return;
    this.state = 'over';
    this.listener.onHead({ status: 0, outcome });
  }

  onData(bytes: Buffer): boolean {
    if (this.state === 'over' || this.response.write(bytes)) return true;
    if (this.bufferedBytes === 0) this.response.once('drain', () => this.onDrain());
    this.bufferedBytes += bytes.length;
    return false;
  }

  onEnd(): void {
    if (this.state === 'over') return;
    this.state = 'over';
    this.response.end();
    this.listener.onEnd();
  }

  onFailure(written: boolean): void {
    if (this.state === 'over') return;
    const wasRelaying = this.state === 'relaying';
    this.state = 'over';
    if (wasRelaying) {
      this.response.destroy();
      this.listener.onFailure({ reason: 'broken-answer', written: true });
    } else this.listener.onFailure({ reason: written ? 'reset' : 'connect', written });
  }

  private onDrain(): void {
    const { bufferedBytes } = this;
    this.bufferedBytes = 0;
    this.stream?.acknowledge(bufferedBytes);
  }
}
