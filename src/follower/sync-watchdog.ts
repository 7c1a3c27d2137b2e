/**
 * Aborts a stalled sync. After a power loss or a network partition the connection of a sync may be dead without having
 * been reset, and the sync would wait for its timeout. It is detected by heartbeats to the same replica: one timed out, or
 * they report that the replica was restarted or has changes that the sync should have delivered.
 */
import type { Clock } from '../common/clock.js';
import type { ConfigurationView } from './configuration-view.js';
import type { ExchangeProgress } from '../http/control-client.js';
import type { CurrentReply } from './heartbeat-round.js';
import type { SyncLog } from './sync-log.js';

/**
 * How much later than the reply to a heartbeat the response to a sync with the same changes may arrive, in
 * milliseconds. Longer than the retransmission of a lost packet, which takes 200 ms.
 */
const NEWS_GRACE_MS = 250;

/** Options of a sync request through which it is observed and aborted. */
export interface WatchedSync {
  readonly abort: AbortSignal;
  readonly progress: ExchangeProgress;
}

export class SyncWatchdog {
  private abortController = new AbortController();
  private progress: ExchangeProgress = { receivedBytes: 0 };
  /** Endpoint source of the replica that the sync was sent to; undefined until a heartbeat reports it. */
  private expectedSource: string | undefined;
  /** Whether a heartbeat to the replica has timed out since the sync was sent. */
  private hasMissedHeartbeat = false;
  /** Latest endpoint sources by replica origin. A source changes when its replica restarts. */
  private readonly reportedSources = new Map<string, string>();

  constructor(
    private readonly clock: Clock,
    private readonly view: ConfigurationView,
    private readonly syncLog: SyncLog,
  ) {}

  /** Resets the state for a sync that is about to be sent to `origin`. */
  begin(origin: string): WatchedSync {
    this.abortController = new AbortController();
    this.progress = { receivedBytes: 0 };
    this.expectedSource = this.reportedSources.get(origin);
    this.hasMissedHeartbeat = false;
    return { abort: this.abortController.signal, progress: this.progress };
  }

  abort(): void {
    this.abortController.abort();
  }

  /** Called when a heartbeat to the replica that the sync was sent to times out. */
  onHeartbeatLost(): void {
    this.hasMissedHeartbeat = true;
  }

  onReplies(replies: readonly CurrentReply[]): void {
    for (const { origin, reply } of replies) {
      if (reply.endpoints !== undefined) this.reportedSources.set(origin, reply.endpoints.source);
    }
  }

  /** Aborts the sync if a heartbeat reply of the replica that it was sent to shows that it is stalled. */
  abortIfStalled({ origin, reply, roundTripMs }: CurrentReply): void {
    const source = this.reportedSources.get(origin);
    if (this.hasMissedHeartbeat) {
      this.giveUp('a heartbeat to the replica timed out');
      return;
    }
    if (this.expectedSource !== undefined && this.expectedSource !== source) {
      this.giveUp('the replica was restarted');
      return;
    }
    this.expectedSource = source;
    const { endpoints, revision } = reply;
    if (!this.view.isBehind(revision, endpoints)) return;
    const sync = this.abortController;
    const { receivedBytes } = this.progress;
    this.clock.schedule(NEWS_GRACE_MS + roundTripMs, () => {
      const isUnderWay = this.abortController === sync;
      const isArriving = this.progress.receivedBytes > receivedBytes;
      if (isUnderWay && !isArriving && this.view.isBehind(revision, endpoints)) {
        this.giveUp('the replica reported changes that the sync did not deliver');
      }
    });
  }

  private giveUp(cause: string): void {
    this.syncLog.onAborted(cause);
    this.abort();
  }
}
