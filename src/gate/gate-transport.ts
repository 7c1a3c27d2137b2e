/** Sends one routed call from a sidecar to its target, and checks the head of the answer. */
import type { IncomingHttpHeaders } from 'node:http';
import type { CallContext } from '../call/call-context.js';
import type { Attempt, AttemptListener, TargetTransport } from '../call/transport.js';
import type { Clock } from '../common/clock.js';
import type { IncomingLinkCall } from '../link/incoming-link-call.js';
import type { TargetConnection } from '../membership/target-connection-pool.js';
import { RelayHandler, type RelayPolicy } from '../http/relay-handler.js';
import { readAnnouncement, type TargetAnnouncement } from '../http/target-announcement.js';
import {
  detectAnswerFault,
  headerValue,
  isFramed,
  type TargetHeaders,
} from '../http/target-headers.js';
import { parseTargetLoad, type TargetLoad } from '../http/target-load.js';

/** Shared by all calls of one sidecar to its target. */
export interface GateTransportOptions {
  readonly clock: Clock;
  readonly names: TargetHeaders;
  /**
   * Connections to the current target, and the instance expected there; undefined while there is
   * none.
   */
  readonly target: () => TargetConnection | undefined;
  /**
   * Called with what the target announces in an answer.
   * @param incarnation name of the incarnation that answered
   * @param sentAt when the request was sent, in monotonic milliseconds
   */
  readonly onAnnouncement: (
    incarnation: string,
    sentAt: number,
    announcement: TargetAnnouncement,
  ) => void;
  /**
   * Called with the load that the target reports in an answer.
   * @param incarnation name of the incarnation that answered
   */
  readonly onLoad: (incarnation: string, load: TargetLoad) => void;
  /** Whether an answer without a declared length may be complete. */
  readonly allowsUnframed: boolean;
}

export class GateTransport implements TargetTransport {
  constructor(
    private readonly options: GateTransportOptions,
    private readonly context: CallContext,
    private readonly call: IncomingLinkCall,
  ) {}

  send(listener: AttemptListener): Attempt {
    const { frame, body } = this.call;
    const target = this.options.target();
    const handler = new RelayHandler(this.call, this.relayPolicy(target), listener);
    if (target === undefined) {
      queueMicrotask(() => listener.onFailure({ reason: 'connect', written: false }));
      return handler;
    }
    target.dispatcher.dispatch(
      {
        method: frame.method,
        path: frame.path,
        headers: this.headers(target.instance),
        body,
      },
      handler,
    );
    return handler;
  }

  private relayPolicy(target: TargetConnection | undefined): RelayPolicy {
    const { names, allowsUnframed, clock } = this.options;
    const { requestId } = this.context;
    const sentAt = clock.now();
    return {
      onResponse: (status, headers) => this.onResponse(target, sentAt, status, headers),
      onAnswered: () => target?.responseTimes.recordDuration(clock.now() - sentAt),
      onUnanswered: () => target?.onUnanswered(clock.now() - sentAt),
      readHead: (status, headers) => ({
        status,
        outcome: undefined,
        expectedIncarnation: target?.incarnation,
        fault:
          detectAnswerFault(names, requestId, status, headers) ??
          (allowsUnframed || isFramed(status, headers) ? undefined : 'foreign'),
      }),
      extraHeaders: () => [],
      isCutOff: () => target?.isResetting() === true,
    };
  }

  /** Only answers of the target itself count, whether or not they are relayed. */
  private onResponse(
    target: TargetConnection | undefined,
    sentAt: number,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    const { names, onAnnouncement, onLoad } = this.options;
    const fault = detectAnswerFault(names, this.context.requestId, status, headers);
    if (target === undefined || (fault !== undefined && fault !== 'not-executed')) return;
    onAnnouncement(target.incarnation, sentAt, readAnnouncement(names, headers));
    const load = parseTargetLoad(headerValue(headers, names.load));
    if (load !== undefined) onLoad(target.incarnation, load);
  }

  private headers(instance: string): string[] {
    const { names, clock } = this.options;
    const { deadlineAt, answerMarginMs = 0 } = this.context;
    const remainingMs = Math.max(0, Math.floor(deadlineAt - answerMarginMs - clock.now()));
    return [
      ...this.call.frame.headers,
      names.deadlineMs,
      String(remainingMs),
      names.expectedInstance,
      instance,
    ];
  }
}
