/**
 * The context of a call from outside, as an edge mints it, and how the call is sent. For edges and the simulator. Owns
 * nothing; pure. Relies on the policy's kinds, where an ingress has routes (`ingress/ingress-context.ts`).
 */
import type { Group, RequestKind } from '../policy/policy-table.js';
import type { CallContext } from '../call/call-context.js';
import type { OutboundRequest } from '../outbound/outbound-request.js';
import { RetryAllowance } from '../retry/retry-allowance.js';

/**
 * Mints the context of a request.
 * @param clientTimeoutMs how long the caller says it waits; it can only shorten the kind's deadline
 */
export function mintContext(
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

/** What an edge asks its router for a request from outside. */
export function edgeOutboundRequest(context: CallContext, kind: RequestKind): OutboundRequest {
  return {
    trafficClass: `${kind.name}/${context.group}`,
    repeatable: kind.repeatable,
    deadlineAt: context.deadlineAt,
    retryRatio: kind.retryRatio,
    allowance: new RetryAllowance(context.retries),
  };
}
