/**
 * Tracks what the current incarnation of a target announces in its answers, and logs each change. Announcements of other
 * incarnations are ignored; a successor starts without any.
 */
import {
  RateLimitTracker,
  type AnnouncedRateLimit,
  type RateLimitChange,
} from '../admission/announced-rate-limit.js';
import type { TargetRateLimiter } from '../admission/target-rate-limiter.js';
import type { Logger, LogFields } from '../common/logger.js';
import type { TargetAnnouncement } from '../http/target-announcement.js';
import { incarnationName, isSameIncarnation, type Incarnation } from './incarnation.js';

export class TargetAnnouncements {
  private target: Incarnation | undefined;
  /** Names under which calls are sent to the incarnation. */
  private names = new Set<string>();
  private tracker = new RateLimitTracker();
  private isLeaving = false;

  /** @param onLeaving called once for each incarnation that announces its shutdown */
  constructor(
    private readonly limiter: TargetRateLimiter,
    private readonly onLeaving: (target: Incarnation) => void,
    private readonly logger: Logger,
  ) {}

  /** Name of the current incarnation; empty before the first target. */
  get incarnation(): string {
    return this.target === undefined ? '' : incarnationName(this.target);
  }

  /** The limit of the target in requests a second; undefined if it has announced none. */
  get rateLimitPerSecond(): number | undefined {
    return this.tracker.perSecond;
  }

  /**
   * Called when the target may be another incarnation.
   * @param name name under which calls are sent to it
   */
  onTarget(target: Incarnation, name = incarnationName(target)): void {
    const isSame = this.target !== undefined && isSameIncarnation(this.target, target);
    if (!isSame) {
      this.names = new Set();
      this.tracker = new RateLimitTracker();
      this.isLeaving = false;
      // The first target may have announced a limit to others before this process was started.
      if (this.target !== undefined) this.limiter.onTargetReplaced();
    }
    this.target = target;
    this.names.add(name);
  }

  /**
   * Records the head of an answer.
   * @param incarnation name of the incarnation that answered
   * @param sentAt when the request was sent, in monotonic milliseconds
   */
  onAnswer(incarnation: string, sentAt: number, announcement: TargetAnnouncement): void {
    if (!this.names.has(incarnation)) return;
    this.apply(announcement.rateLimit, sentAt);
    if (announcement.isLeaving) this.onLeavingAnnounced(this.target!);
  }

  /**
   * Records the answer to a health check. A limit that it lacks may still be in force: only answers to calls show that there
   * is none.
   * @param sentAt when the request was sent, in monotonic milliseconds
   */
  onHealthAnswer(target: Incarnation, sentAt: number, announcement: TargetAnnouncement): void {
    this.onTarget(target);
    if (announcement.rateLimit.type !== 'none') this.apply(announcement.rateLimit, sentAt);
    if (announcement.isLeaving) this.onLeavingAnnounced(this.target!);
  }

  private apply(rateLimit: AnnouncedRateLimit, sentAt: number): void {
    const change = this.tracker.onAnswer(rateLimit, sentAt);
    this.limiter.setLimit(this.tracker.perSecond);
    if (change !== undefined) this.log(change);
  }

  private onLeavingAnnounced(target: Incarnation): void {
    if (this.isLeaving) return;
    this.isLeaving = true;
    this.logger.info('The target announced that it is leaving.', { ...target });
    this.onLeaving(target);
  }

  private log(change: RateLimitChange): void {
    const { type, ...limits } = change;
    const fields: LogFields = { ...limits, instance: this.target?.instance };
    switch (type) {
      case 'announced':
        this.logger.info('The target announced a rate limit.', fields);
        return;
      case 'changed':
        this.logger.info('The target changed its rate limit.', fields);
        return;
      case 'lifted':
        this.logger.info('The target lifted its rate limit.', fields);
        return;
      case 'malformed':
        this.logger.warn('The target announced a malformed rate limit.', fields);
    }
  }
}
