/** Sends one heartbeat to a set of replicas and collects their replies. */
import type { Clock } from '../common/clock.js';
import type { Heartbeat, HeartbeatReply } from '../sync/heartbeat.js';
import { HEARTBEAT_PATH } from '../sync/sync-protocol.js';
import { ExchangeFailure, type ControlTransport } from '../http/control-client.js';

/** Result of a heartbeat to one replica. */
export interface ReplicaReply {
  readonly origin: string;
  /** Undefined if the request failed or timed out. */
  readonly reply: HeartbeatReply | undefined;
  readonly timedOut: boolean;
  /** Time at which the heartbeat was sent, in monotonic milliseconds. */
  readonly sentAt: number;
  /** Milliseconds until the reply arrived or the request failed. */
  readonly roundTripMs: number;
}

/** Reply of a replica that has a leader. */
export interface CurrentReply extends ReplicaReply {
  readonly reply: Extract<HeartbeatReply, { type: 'ok' }>;
}

/** Whether the replica has a leader, and therefore receives every change. */
export function isCurrent(answer: ReplicaReply): answer is CurrentReply {
  return answer.reply?.type === 'ok' && answer.reply.isCurrent;
}

/**
 * Sends a heartbeat to all `origins`. Resolves when every request has succeeded or failed.
 * @param onReply called with each reply as soon as it arrives
 */
export function sendHeartbeat(
  client: ControlTransport,
  clock: Clock,
  origins: readonly string[],
  heartbeat: Heartbeat,
  timeoutMs: number,
  onReply: (reply: ReplicaReply) => void,
): Promise<ReplicaReply[]> {
  const sentAt = clock.now();
  return Promise.all(
    origins.map(async (origin): Promise<ReplicaReply> => {
      const options = { timeoutMs };
      const exchange = await client.send<HeartbeatReply>(
        origin,
        HEARTBEAT_PATH,
        heartbeat,
        options,
      );
      const roundTripMs = clock.now() - sentAt;
      if (exchange.type === 'answered') {
        const answered = {
          origin,
          reply: exchange.answer,
          timedOut: false,
          sentAt,
          roundTripMs,
        };
        onReply(answered);
        return answered;
      }
      const timedOut = exchange.failure === ExchangeFailure.TimedOut;
      return { origin, reply: undefined, timedOut, sentAt, roundTripMs };
    }),
  );
}
