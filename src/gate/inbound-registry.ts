/**
 * The calls in a node's target, by trace context: finds the call on whose behalf the target makes
 * another one. Targets cannot change the entries.
 */
import type { InboundCall } from './inbound-call.js';
import type { TraceParent } from '../call/trace-parent.js';

export class InboundRegistry {
  private readonly bySpan = new Map<string, InboundCall>();
  private readonly byTrace = new Map<string, Set<InboundCall>>();

  /** Adds a call that is about to be sent to the target. */
  add(spanId: string, call: InboundCall): void {
    this.bySpan.set(spanId, call);
    const traceId = call.context.requestId;
    const calls = this.byTrace.get(traceId);
    if (calls === undefined) this.byTrace.set(traceId, new Set([call]));
    else calls.add(call);
  }

  remove(spanId: string, call: InboundCall): void {
    this.bySpan.delete(spanId);
    const traceId = call.context.requestId;
    const calls = this.byTrace.get(traceId);
    calls?.delete(call);
    if (calls?.size === 0) this.byTrace.delete(traceId);
  }

  /**
   * The call on whose behalf the target makes another one. If the target's own tracing has replaced
   * the span id, the earliest call with the same trace id is returned.
   */
  find(parent: TraceParent | undefined): InboundCall | undefined {
    if (parent === undefined) return undefined;
    const exact = this.bySpan.get(parent.spanId);
    if (exact?.context.requestId === parent.traceId) return exact;
    const [first] = this.byTrace.get(parent.traceId) ?? [];
    return first;
  }
}
