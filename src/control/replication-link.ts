/**
 * Transport between control replicas: one HTTP POST per message, answered with 204. Lost messages are not retried here; Raft sends
 * them again.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MessageTarget, RaftMessage, RaftTransport } from '../consensus/raft-types.js';
import type { ReplicaHost } from '../consensus/replica-host.js';
import type { ControlClient } from '../http/control-client.js';
import type { BodyLimits } from '../http/request-body.js';
import { isLinkRequest, readMessage, writeStatus } from '../http/link-messages.js';
import { HttpStatus } from '../common/http-status.js';

export const REPLICATION_PATH = '/internal/replication';

/** Maximum message size in bytes; snapshots are the largest messages. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
const BODY_LIMITS: BodyLimits = {
  bufferBytes: MAX_MESSAGE_BYTES,
  maxBytes: MAX_MESSAGE_BYTES,
  timeoutMs: 10_000,
};
/** Maximum number of messages in flight to one replica; further messages are dropped. */
const MAX_IN_FLIGHT = 16;

interface Envelope {
  /** Identity of the receiving replica; empty for any replica at the address. */
  readonly to: string;
  readonly message: RaftMessage;
}

/** Sends messages to other replicas. */
export class ReplicationSender implements RaftTransport {
  private readonly inFlight = new Map<string, number>();

  constructor(
    private readonly client: ControlClient,
    private readonly timeoutMs: number,
  ) {}

  send(to: MessageTarget, message: RaftMessage): void {
    const inFlight = this.inFlight.get(to.origin) ?? 0;
    if (inFlight >= MAX_IN_FLIGHT) return;
    this.inFlight.set(to.origin, inFlight + 1);
    const envelope: Envelope = { to: to.identity, message };
    void this.client
      .send(to.origin, REPLICATION_PATH, envelope, { timeoutMs: this.timeoutMs })
      .then(() => {
        this.inFlight.set(to.origin, this.inFlight.get(to.origin)! - 1);
      });
  }
}

/** Receives messages from other replicas. */
export class ReplicationReceiver {
  constructor(
    private readonly host: ReplicaHost,
    private readonly linkToken: string,
  ) {}

  async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!isLinkRequest(message, this.linkToken)) {
      writeStatus(response, HttpStatus.Unauthorized);
      return;
    }
    const envelope = await readMessage<Envelope>(message, BODY_LIMITS);
    if (envelope === undefined) {
      writeStatus(response, HttpStatus.BadRequest);
      return;
    }
    writeStatus(response, HttpStatus.NoContent);
    this.host.receive(envelope.to, envelope.message);
  }
}
