/** One heartbeat to every replica, and what each of them answered. Owns no state; `follower.ts` judges the answers. */
import type { Clock } from '../common/clock.js';
import type { Heartbeat, HeartbeatReply } from '../sync/heartbeat.js';
import { HEARTBEAT_PATH } from '../sync/sync-protocol.js';
import { ExchangeFailure, type ControlLink } from '../http/control-client.js';

/** The answer of one replica; undefined when there was none in time. */
export interface ReplicaReply {
  readonly origin: string;
  readonly reply: HeartbeatReply | undefined;
  readonly timedOut: boolean;
  /** Monotonic milliseconds at which the heartbeat was sent. */
  readonly sentAt: number;
  /** Milliseconds until it came. */
  readonly roundTripMs: number;
}

/** The answer of a replica that has a leader. */
export interface CurrentReply extends ReplicaReply {
  readonly reply: Extract<HeartbeatReply, { type: 'ok' }>;
}

/** Whether a replica has a leader, so that it receives every change. */
export function isCurrent(answer: ReplicaReply): answer is CurrentReply {
  return answer.reply?.type === 'ok' && answer.reply.isCurrent;
}

/**
 * Sends a heartbeat to all `origins`. Resolves when each has answered or failed.
 * @param onReply called with each answer as it comes
 */
export function sendHeartbeat(
  client: ControlLink,
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
