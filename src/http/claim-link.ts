/**
 * The link between nodes for claims of idempotency keys. Messages go to a node's inbound side under a header of their own,
 * so that no path of the target is taken.
 *
 * For: the rules of `dedup`, whose messages it carries. Owns: their time limits and sizes. Relies on: the claim rules to
 * take a message without a reply for lost. No line is logged for one: there would be one a call while a node is down.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { LINK_HEADER } from '../call/call-context.js';
import { decodeMessage } from '../common/message-codec.js';
import type { ClaimMessage, ClaimReply, ClaimTransport } from '../dedup/claim-messages.js';
import { postMessage, readMessage, writeMessage, writeStatus } from './link-messages.js';
import type { ConnectionPools } from './connection-pools.js';
import type { BodyLimits } from './request-body.js';
import { HttpStatus } from '../common/http-status.js';

/** Request header that marks a message between nodes, to nodes only. */
export const MESSAGE_HEADER = 'shoredoor-message';
export const CLAIM_MESSAGE = 'claim';

/** Longest time for a message and its reply, in milliseconds. */
const TIMEOUT_MS = 1_000;
/** A handover carries every claim of a node. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
/** Bounds of a message, and the longest time for it to arrive. */
const BODY_LIMITS: BodyLimits = {
  bufferBytes: MAX_MESSAGE_BYTES,
  maxBytes: MAX_MESSAGE_BYTES,
  timeoutMs: 5_000,
};

export interface ClaimTransportOptions {
  readonly pools: ConnectionPools;
  readonly linkToken: string;
  /** Inbound origin of a node, when it is known. */
  readonly originOf: (nodeId: string) => string | undefined;
}

export class HttpClaimTransport implements ClaimTransport {
  constructor(private readonly options: ClaimTransportOptions) {}

  request(
    memberId: string,
    message: ClaimMessage,
    onReply: (reply: ClaimReply | undefined) => void,
  ): void {
    const origin = this.options.originOf(memberId);
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

/** Answers a message from another node. The caller has checked the link token. */
export async function answerClaimMessage(
  message: IncomingMessage,
  response: ServerResponse,
  handle: (message: ClaimMessage) => ClaimReply,
): Promise<void> {
  const received = await readMessage<ClaimMessage>(message, BODY_LIMITS);
  if (received === undefined) writeStatus(response, HttpStatus.BadRequest);
  else writeMessage(response, handle(received));
}
