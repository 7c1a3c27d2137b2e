/**
 * Creates the call context and the outbound request for a client request at an edge. The ingress has its own version for
 * routes, `ingress/ingress-context.ts`.
 */
import type { Group, RequestKind } from '../policy/policy-table.js';
import { callPriority } from '../admission/call-priority.js';
import type { CallContext } from '../call/call-context.js';
import type { OutboundRequest } from '../outbound/outbound-request.js';
import { RetryAllowance } from '../retry/retry-allowance.js';

/**
 * Creates the context of a client request.
 * @param clientTimeoutMs timeout requested by the client; it can only shorten the kind's deadline
 * @param now the current time in milliseconds
 */
export function createEdgeContext(
  requestId: string,
  group: Pick<Group, 'name'>,
  kind: RequestKind,
  clientTimeoutMs: number | undefined,
  now: number,
): CallContext {
  const deadlineMs = Math.min(kind.deadlineMs, clientTimeoutMs ?? kind.deadlineMs);
  return {
    requestId,
    group: group.name,
    kind: kind.name,
    importance: kind.importance,
    deadlineAt: now + deadlineMs,
    retries: kind.retryAllowance,
  };
}

/** Creates the request that an edge passes to its router. */
export function createEdgeOutboundRequest(
  context: CallContext,
  kind: RequestKind,
): OutboundRequest {
  return {
    trafficClass: `${kind.name}/${context.group}`,
    priority: callPriority({ importance: context.importance, isNested: false }),
    repeatable: kind.repeatable,
    deadlineAt: context.deadlineAt,
    retryRatio: kind.retryRatio,
    allowance: new RetryAllowance(context.retries),
  };
}
