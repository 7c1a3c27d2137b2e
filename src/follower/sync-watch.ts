/**
 * Ends a sync that waits in vain. A replica whose machine has lost power, or a cut, resets no
 * connection: the sync would wait for its time limit, while heartbeats are answered again. These show
 * it: one had gone unanswered, or they report that the replica was restarted or has news that the sync
 * would have brought.
 */
import type { Clock } from '../common/clock.js';
import type { ConfigurationView } from './configuration-view.js';
import type { ExchangeProgress } from '../http/control-client.js';
import type { CurrentReply } from './heartbeat-round.js';
import type { SyncJournal } from './sync-journal.js';

/**
 * Time that the answer to a sync may come later than that to a heartbeat which reports the same news.
 * The replica writes both within a few milliseconds; the rest is for a lost packet, sent again after 200 ms.
 */
const NEWS_GRACE_MS = 250;

/** What a sync is sent with, so that it can be watched. */
export interface WatchedSync {
  readonly abort: AbortSignal;
  readonly progress: ExchangeProgress;
}

export class SyncWatchdog {
  private abortController = new AbortController();
  private progress: ExchangeProgress = { receivedBytes: 0 };
  /** Start of the replica that the sync was sent to, once a heartbeat has reported it. */
  private expectedSource: string | undefined;
  /** Whether the replica has left a heartbeat unanswered since the sync was sent. */
  private hasMissedHeartbeat = false;
  /** Starts of the replicas by their origins, as heartbeats have reported. */
  private readonly reportedSources = new Map<string, string>();

  constructor(
    private readonly clock: Clock,
    private readonly view: ConfigurationView,
    private readonly journal: SyncJournal,
  ) {}

  /** A sync is about to be sent to the replica at `origin`. */
  begin(origin: string): WatchedSync {
    this.abortController = new AbortController();
    this.progress = { receivedBytes: 0 };
    this.expectedSource = this.reportedSources.get(origin);
    this.hasMissedHeartbeat = false;
    return { abort: this.abortController.signal, progress: this.progress };
  }

  /** Ends the sync under way. */
  abort(): void {
    this.abortController.abort();
  }

  /** The replica that the sync was sent to left a heartbeat unanswered. */
  onHeartbeatLost(): void {
    this.hasMissedHeartbeat = true;
  }

  /** Replicas have answered a heartbeat. */
  onReplies(replies: readonly CurrentReply[]): void {
    for (const { origin, reply } of replies) {
      if (reply.endpoints !== undefined) this.reportedSources.set(origin, reply.endpoints.source);
    }
  }

  /** The replica that the sync was sent to has answered a heartbeat: ends the sync if it is in vain. */
  abortIfStalled({ origin, reply, roundTripMs }: CurrentReply): void {
    const source = this.reportedSources.get(origin);
    if (this.hasMissedHeartbeat) {
      this.giveUp('the replica had not answered a heartbeat');
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
        this.giveUp('the replica has news that it did not bring');
      }
    });
  }

  private giveUp(cause: string): void {
    this.journal.onGivenUp(cause);
    this.abort();
  }
}
