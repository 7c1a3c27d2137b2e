/**
 * Exchanges claims of idempotency keys between nodes over HTTP. Messages are sent to a node's inbound address and marked by
 * a header, so that they use no path of the target. Failures are not logged: while a node is down there would be one per
 * call.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { LINK_HEADER } from '../call/call-context.js';
import { decodeMessage } from '../common/message-codec.js';
import type { ClaimMessage, ClaimReply, ClaimTransport } from '../dedup/claim-messages.js';
import { postMessage, readMessage, writeMessage, writeStatus } from './link-messages.js';
import type { ConnectionPools } from './connection-pools.js';
import type { BodyLimits } from './request-body.js';
import { HttpStatus } from '../common/http-status.js';

/** Request header that marks an internal message between nodes. */
export const MESSAGE_HEADER = 'shoredoor-message';
export const CLAIM_MESSAGE = 'claim';

/** Timeout for a message and its reply, in milliseconds. */
const TIMEOUT_MS = 1_000;
/** Large enough for a handover, which carries every claim of a node. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
const BODY_LIMITS: BodyLimits = {
  bufferBytes: MAX_MESSAGE_BYTES,
  maxBytes: MAX_MESSAGE_BYTES,
  timeoutMs: 5_000,
};

export interface ClaimTransportOptions {
  readonly pools: ConnectionPools;
  readonly linkToken: string;
  /** Returns the inbound origin of a node, or undefined if the node is unknown. */
  readonly getOrigin: (nodeId: string) => string | undefined;
}

export class HttpClaimTransport implements ClaimTransport {
  constructor(private readonly options: ClaimTransportOptions) {}

  request(
    memberId: string,
    message: ClaimMessage,
    onReply: (reply: ClaimReply | undefined) => void,
  ): void {
    const origin = this.options.getOrigin(memberId);
    if (origin === undefined) {
      onReply(undefined);
      return;
    }
    this.send(origin, message).then(onReply, () => onReply(undefined));
  }

  private async send(origin: string, message: ClaimMessage): Promise<ClaimReply | undefined> {
    const { pools, linkToken } = this.options;
    const { status, bytes } = await postMessage(`${origin}/`, message, {
      dispatcher: pools.get(origin),
      headers: { [LINK_HEADER]: linkToken, [MESSAGE_HEADER]: CLAIM_MESSAGE },
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    return status === HttpStatus.Ok ? decodeMessage<ClaimReply>(bytes) : undefined;
  }
}

/** Handles a claim message of another node. The link token must have been checked before. */
export async function handleClaimMessage(
  message: IncomingMessage,
  response: ServerResponse,
  handle: (message: ClaimMessage) => ClaimReply,
): Promise<void> {
  const received = await readMessage<ClaimMessage>(message, BODY_LIMITS);
  if (received === undefined) {
    writeStatus(response, HttpStatus.BadRequest);
    return;
  }
  try {
    writeMessage(response, handle(received));
  } catch {
    // Not logged: a message of another form, whose sender gets the refusal.
    writeStatus(response, HttpStatus.BadRequest);
  }
}
