/**
 * Keeps a process (node, edge or sidecar) in sync with control: fetches configuration and endpoints from one replica by long
 * polling, and sends heartbeats to all replicas. {@link ReplicaSelector} selects the replica to sync with, and
 * {@link SyncWatchdog} aborts stalled syncs. Not related to the Raft role "follower" (`consensus/raft-options.ts`).
 */
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import type { Heartbeat, HeartbeatReply } from '../sync/heartbeat.js';
import { unpackSync, type PackedSync } from '../sync/sync-codec.js';
import { SYNC_HOLD_MS, SYNC_PATH, type SyncResponse } from '../sync/sync-protocol.js';
import type { Logger } from '../common/logger.js';
import type { EndpointState } from '../call/endpoint.js';
import { ConfigurationProof } from './configuration-proof.js';
import { ConfigurationView } from './configuration-view.js';
import { ExchangeFailure, type ControlTransport, type Exchange } from '../http/control-client.js';
import { isCurrent, sendHeartbeat, type ReplicaReply } from './heartbeat-round.js';
import { ReplicaSelector } from './replica-selector.js';
import { SupersededDetector } from './superseded-detector.js';
import { SyncLog } from './sync-log.js';
import { SyncWatchdog } from './sync-watchdog.js';

export interface FollowerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly client: ControlTransport;
  /**
   * Initial origins of control replicas. The replicas report the origins of all others. The initial
   * ones are added again when no replica with a leader replies.
   */
  readonly controlOrigins: readonly string[];
  /** Default {@link HEARTBEAT_INTERVAL_MS}. */
  readonly heartbeatIntervalMs?: number;
  readonly logger: Logger;
  /** Content of the next heartbeat, apart from the fields that the follower sets itself. */
  readonly identity: () => Omit<Heartbeat, 'state' | 'appliedRevision'>;
  readonly onConfiguration: (view: ConfigurationView) => void;
  readonly onEndpoints: (view: ConfigurationView) => void;
  /** Called when a sync brought a list of requests suspected of crashing targets. */
  readonly onSuspects?: (view: ConfigurationView) => void;
  /** Called for each reply to a heartbeat, which was sent at `sentAt` (monotonic milliseconds). */
  readonly onReply?: (reply: Extract<HeartbeatReply, { type: 'ok' }>, sentAt: number) => void;
  /** Called when a replica knows a newer process with the same id. */
  readonly onSuperseded: () => void;
}

/** Default interval between heartbeats, in milliseconds: a fifth of the default lease of a member. */
export const HEARTBEAT_INTERVAL_MS = 2_000;
/** Timeout of a heartbeat as a fraction of the interval, so that it ends before the next heartbeat. */
const HEARTBEAT_TIMEOUT_FRACTION = 0.75;
/** Timeout of a sync, in milliseconds: the time that a replica may hold it, plus a margin for a slow response. */
const SYNC_TIMEOUT_MS = SYNC_HOLD_MS + 2_000;
/** Delay before the next sync after a failed one, in milliseconds. */
const RETRY_DELAY_MS = 200;

export class Follower {
  readonly view = new ConfigurationView();
  private state: EndpointState;
  private stopped = false;
  private readonly replica: ReplicaSelector;
  private heartbeatTimer: { cancel(): void } | undefined;
  /** Time of the last reply from a replica that has a leader, in monotonic milliseconds. */
  private lastCurrentReplyAt: number;
  /** Origin of the replica that last replied as leader. */
  private leaderOrigin: string | undefined;
  private readonly syncLog: SyncLog;
  private readonly watchdog: SyncWatchdog;
  private readonly proof = new ConfigurationProof();
  private readonly superseded: SupersededDetector;

  constructor(private readonly options: FollowerOptions) {
    this.replica = new ReplicaSelector(options.controlOrigins, options.random);
    this.lastCurrentReplyAt = options.clock.now();
    this.state = 'ready';
    this.syncLog = new SyncLog(options.clock, options.logger);
    this.superseded = new SupersededDetector(options.logger);
    this.watchdog = new SyncWatchdog(options.clock, this.view, this.syncLog);
  }

  /** Newest revision reported by a heartbeat reply; 0 if there is none. */
  get reportedRevision(): number {
    return this.syncLog.reportedRevision;
  }

  /** Milliseconds since the current sync was sent. */
  get syncHeldMs(): number {
    return this.syncLog.heldMs;
  }

  /** Age of the proof that the applied configuration holds every acknowledged change, in milliseconds. */
  proofAgeMs(): number {
    return this.proof.ageMs(this.options.clock.now());
  }

  start(): void {
    void this.follow();
    this.sendPeriodicHeartbeat();
  }

  /** Milliseconds since the last reply from a control replica that has a leader. */
  silentForMs(): number {
    return this.options.clock.now() - this.lastCurrentReplyAt;
  }

  /** Reports immediately that the process accepts no new work. */
  async announceLeaving(): Promise<void> {
    this.state = 'leaving';
    await this.sendHeartbeats();
  }

  /**
   * Sets whether the process accepts new work, and sends heartbeats immediately if that changed.
   * @param hasOtherChange whether other fields of the heartbeat changed too: sends in any case
   */
  announce(state: EndpointState, hasOtherChange = false): void {
    if (this.stopped || (this.state === state && !hasOtherChange)) return;
    this.state = state;
    void this.sendHeartbeats();
  }

  /** Sends heartbeats immediately because a field of {@link FollowerOptions.identity} changed. */
  announceChange(): void {
    if (!this.stopped) void this.sendHeartbeats();
  }

  /** Sends a heartbeat to the leader only, if known: only its reply contains quota grants. */
  sendHeartbeatToLeader(): void {
    if (!this.stopped && this.leaderOrigin !== undefined) {
      void this.sendTo([this.leaderOrigin]);
    }
  }

  /** Replaces the initial origins, as after a reload of the settings. */
  setSeeds(seeds: readonly string[]): void {
    this.replica.setSeeds(seeds);
  }

  stop(): void {
    this.stopped = true;
    this.watchdog.abort();
    this.heartbeatTimer?.cancel();
  }

  private get heartbeatIntervalMs(): number {
    return this.options.heartbeatIntervalMs ?? HEARTBEAT_INTERVAL_MS;
  }

  private sendPeriodicHeartbeat(): void {
    if (this.stopped) return;
    void this.sendHeartbeats();
    this.heartbeatTimer = this.options.clock.schedule(this.heartbeatIntervalMs, () =>
      this.sendPeriodicHeartbeat(),
    );
  }

  private sendTo(origins: readonly string[]): Promise<ReplicaReply[]> {
    const heartbeat: Heartbeat = {
      ...this.options.identity(),
      state: this.state,
      appliedRevision: this.view.appliedRevision,
    };
    const timeoutMs = this.heartbeatIntervalMs * HEARTBEAT_TIMEOUT_FRACTION;
    const { client, clock } = this.options;
    const onReply = (reply: ReplicaReply): void => this.onReply(reply);
    return sendHeartbeat(client, clock, origins, heartbeat, timeoutMs, onReply);
  }

  /** @param isRepeat whether this retries heartbeats that no replica answered */
  private async sendHeartbeats(isRepeat = false): Promise<void> {
    const replies = await this.sendTo(this.replica.origins);
    this.processReplies(replies);
    // Pooled connections may all be dead; a retry opens new ones.
    const isSilence = replies.every(({ reply }) => reply === undefined);
    const mayRepeat = isSilence && replies.some(({ timedOut }) => timedOut);
    if (mayRepeat && !isRepeat && !this.stopped) void this.sendHeartbeats(true);
    if (this.isSuperseded(replies)) this.options.onSuperseded();
  }

  private isSuperseded(replies: readonly ReplicaReply[]): boolean {
    const found = replies.map(({ origin, reply }) => {
      return reply !== undefined && this.superseded.onReply(origin, reply);
    });
    return found.includes(true);
  }

  private onReply({ origin, reply, sentAt }: ReplicaReply): void {
    if (reply?.type !== 'ok') return;
    this.options.onReply?.(reply, sentAt);
    if (reply.confirmedAgeMs === undefined) return;
    this.leaderOrigin = origin;
    const { revision, confirmedAgeMs } = reply;
    const provenAt = sentAt - confirmedAgeMs;
    this.proof.onConfirmed({ revision, provenAt }, this.view.appliedRevision);
  }

  private processReplies(replies: readonly ReplicaReply[]): void {
    const followed = replies.find(({ origin }) => origin === this.replica.origin);
    if (followed?.timedOut === true) this.watchdog.onHeartbeatLost();
    const current = replies.filter(isCurrent);
    this.watchdog.onReplies(current);
    const { appliedRevision } = this.view;
    const selection = this.replica.selectReplica(current, appliedRevision);
    if (selection.type === 'none') return;
    this.lastCurrentReplyAt = this.options.clock.now();
    const { newest } = selection;
    this.syncLog.onRevisionReported(newest.origin, newest.reply.revision, appliedRevision);
    if (selection.type === 'stay') {
      this.watchdog.abortIfStalled(selection.followed);
      return;
    }
    const { left, cause } = selection;
    const { origin } = newest;
    this.options.logger.info('Switched to another control replica.', { left, cause, origin });
    this.watchdog.abort();
  }

  private async follow(): Promise<void> {
    while (!this.stopped) {
      const { origin } = this.replica;
      const exchange = await this.sync(origin);
      this.syncLog.onEnd(exchange);
      if (exchange.type === 'answered') this.applySync(exchange.answer);
      else if (exchange.failure !== ExchangeFailure.Aborted) {
        this.replica.switchAwayFrom(origin);
        await new Promise<void>((resolve) => this.options.clock.schedule(RETRY_DELAY_MS, resolve));
      }
    }
  }

  private async sync(origin: string): Promise<Exchange<SyncResponse>> {
    const watched = this.watchdog.begin(origin);
    this.syncLog.onSent(origin);
    const exchange = await this.options.client.send<PackedSync>(
      origin,
      SYNC_PATH,
      this.view.request(),
      { timeoutMs: SYNC_TIMEOUT_MS, ...watched },
    );
    if (exchange.type === 'failed') return exchange;
    try {
      return { type: 'answered', answer: unpackSync(exchange.answer) };
    } catch (error) {
      // The replica may run an incompatible version; another one may not.
      return { type: 'failed', failure: ExchangeFailure.Unreadable, detail: String(error) };
    }
  }

  private applySync(response: SyncResponse): void {
    const update = this.view.apply(response);
    if (update.configurationChanged) {
      this.proof.onApplied(this.view.appliedRevision);
      this.options.logger.info('Applied a new configuration.', {
        revision: this.view.appliedRevision,
        origin: this.replica.origin,
      });
      this.options.onConfiguration(this.view);
      void this.sendHeartbeats();
    }
    if (update.endpointsChanged) this.options.onEndpoints(this.view);
    if (update.suspectsChanged) this.options.onSuspects?.(this.view);
  }
}
