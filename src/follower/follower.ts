/**
 * Keeps one process (a node, an edge or a sidecar) in step with control: takes configuration and endpoints from any replica by
 * long polls, and announces the process with heartbeats to every replica. Not the Raft role of the same name, which is a
 * replica of control that does not lead (see `consensus/raft-options.ts`). Owns the view in force, in memory alone, and the
 * age of its proof; relies on `replica-choice.ts` for whom it syncs with and on `sync-watch.ts` for when a sync is in vain.
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
import { ExchangeFailure, type ControlLink, type Exchange } from '../http/control-client.js';
import { isCurrent, sendHeartbeat, type ReplicaReply } from './heartbeat-round.js';
import { ReplicaSelector } from './replica-choice.js';
import { SyncJournal } from './sync-journal.js';
import { SyncWatchdog } from './sync-watch.js';

/** What a follower is made of. */
export interface FollowerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly client: ControlLink;
  /**
   * Origins of control replicas to begin with. The replicas say where all of them are; these are
   * asked again when none of those answers.
   */
  readonly controlOrigins: readonly string[];
  /** Default {@link HEARTBEAT_INTERVAL_MS}. */
  readonly heartbeatIntervalMs?: number;
  readonly logger: Logger;
  /** What to announce, without the parts that the follower knows. */
  readonly identity: () => Omit<Heartbeat, 'state' | 'appliedRevision'>;
  readonly onConfiguration: (view: ConfigurationView) => void;
  readonly onEndpoints: (view: ConfigurationView) => void;
  /** The list of requests under which targets have crashed may be another one. */
  readonly onSuspects?: (view: ConfigurationView) => void;
  /** A replica has answered a heartbeat, which was sent at `sentAt` (monotonic milliseconds). */
  readonly onReply?: (reply: Extract<HeartbeatReply, { type: 'ok' }>, sentAt: number) => void;
  /** Another process with the same id is newer. */
  readonly onSuperseded: () => void;
}

/** Time between two heartbeats, in milliseconds: five within the default lease of a member. */
export const HEARTBEAT_INTERVAL_MS = 2_000;
/** Part of the interval within which a heartbeat must be answered, so that it ends before the next one. */
const HEARTBEAT_TIMEOUT_FRACTION = 0.75;
/** Longest silence on a sync before another replica is asked, in milliseconds: the hold and a slow answer. */
const SYNC_TIMEOUT_MS = SYNC_HOLD_MS + 2_000;
/** Pause after a sync that failed, in milliseconds. */
const RETRY_DELAY_MS = 200;

export class Follower {
  readonly view = new ConfigurationView();
  private state: EndpointState;
  private stopped = false;
  private readonly replica: ReplicaSelector;
  private heartbeatTimer: { cancel(): void } | undefined;
  /** Monotonic milliseconds at which a replica that has a leader last answered. */
  private lastCurrentReplyAt: number;
  /** The replica that last answered as a leader. */
  private leaderOrigin: string | undefined;
  private readonly journal: SyncJournal;
  private readonly watchdog: SyncWatchdog;
  private readonly proof = new ConfigurationProof();

  constructor(private readonly options: FollowerOptions) {
    this.replica = new ReplicaSelector(options.controlOrigins, options.random);
    this.lastCurrentReplyAt = options.clock.now();
    this.state = 'ready';
    this.journal = new SyncJournal(options.clock, options.logger);
    this.watchdog = new SyncWatchdog(options.clock, this.view, this.journal);
  }

  /** Newest revision that a heartbeat's answer has reported; 0 before the first. */
  get reportedRevision(): number {
    return this.journal.reportedRevision;
  }

  /** Milliseconds that the sync under way has lasted. */
  get syncHeldMs(): number {
    return this.journal.heldMs;
  }

  /** Milliseconds since it was proven that no newer configuration than the one in force here was acknowledged. */
  proofAgeMs(): number {
    return this.proof.ageMs(this.options.clock.now());
  }

  /** Starts following. */
  start(): void {
    void this.follow();
    this.sendPeriodicHeartbeat();
  }

  /** Milliseconds since a control replica that has a leader last answered. */
  silentForMs(): number {
    return this.options.clock.now() - this.lastCurrentReplyAt;
  }

  /** Announces at once that the process takes no new work. */
  async announceLeaving(): Promise<void> {
    this.state = 'leaving';
    await this.sendHeartbeats();
  }

  /**
   * Whether the process takes new work; a change is announced at once.
   * @param isOther whether something else about the process has changed with it
   */
  announce(state: EndpointState, isOther = false): void {
    if (this.stopped || (this.state === state && !isOther)) return;
    this.state = state;
    void this.sendHeartbeats();
  }

  /** Announces at once that something else about the process has changed. */
  announceChange(): void {
    if (!this.stopped) void this.sendHeartbeats();
  }

  /** Sends a heartbeat to the leader alone, if one is known: it answers with what only a leader grants. */
  askLeader(): void {
    if (!this.stopped && this.leaderOrigin !== undefined) {
      void this.sendTo([this.leaderOrigin]);
    }
  }

  /** Adopts other replicas to begin with. */
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

  /** @param isRepeat whether it follows at once on one that no replica answered */
  private async sendHeartbeats(isRepeat = false): Promise<void> {
    const replies = await this.sendTo(this.replica.origins);
    this.processReplies(replies);
    // All kept connections may be dead; the next attempt makes new ones.
    const isSilence = replies.every(({ reply }) => reply === undefined);
    const mayRepeat = isSilence && replies.some(({ timedOut }) => timedOut);
    if (mayRepeat && !isRepeat && !this.stopped) void this.sendHeartbeats(true);
    if (replies.some(({ reply }) => reply?.type === 'superseded')) this.options.onSuperseded();
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
    this.journal.onRevisionReported(newest.origin, newest.reply.revision, appliedRevision);
    if (selection.type === 'stay') {
      this.watchdog.abortIfStalled(selection.followed);
      return;
    }
    const { left, cause } = selection;
    const { origin } = newest;
    this.options.logger.info('Another control replica is followed.', { left, cause, origin });
    this.watchdog.abort();
  }

  private async follow(): Promise<void> {
    while (!this.stopped) {
      const { origin } = this.replica;
      const exchange = await this.sync(origin);
      this.journal.onEnd(exchange);
      if (exchange.type === 'answered') this.applySync(exchange.answer);
      else if (exchange.failure !== ExchangeFailure.Aborted) {
        this.replica.switchAwayFrom(origin);
        await new Promise<void>((resolve) => this.options.clock.schedule(RETRY_DELAY_MS, resolve));
      }
    }
  }

  private async sync(origin: string): Promise<Exchange<SyncResponse>> {
    const watched = this.watchdog.begin(origin);
    this.journal.onSent(origin);
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
      // A replica of another version: the next one may be of this one.
      return { type: 'failed', failure: ExchangeFailure.Unreadable, detail: String(error) };
    }
  }

  private applySync(response: SyncResponse): void {
    const update = this.view.apply(response);
    if (update.configurationChanged) {
      this.proof.onApplied(this.view.appliedRevision);
      this.options.logger.info('A configuration is in force.', {
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
