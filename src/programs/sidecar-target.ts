/** Applies changes of the target to the parts of a sidecar: the announcement to control, the slots and the connections. */
import type { AdmissionController } from '../admission/admission-controller.js';
import type { TargetRateLimiter } from '../admission/target-rate-limiter.js';
import type { SlotLimiter } from '../admission/slot-limiter.js';
import { StopPhase, type StopProgress } from '../call/stop-phase.js';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import type { Follower } from '../follower/follower.js';
import type { KindPaceTracker } from '../gate/kind-pace-tracker.js';
import type { UnservedRuns } from '../gate/unserved-runs.js';
import type { TargetLoadTracker } from '../gate/target-load-tracker.js';
import type { TargetHeaders } from '../http/target-headers.js';
import type { TargetAnnouncements } from '../membership/target-announcements.js';
import type { TargetConnectionPool } from '../membership/target-connection-pool.js';
import type { HeldTarget, TargetLease } from '../membership/target-lease.js';
import { probeTarget, type ProbedTarget } from '../membership/target-probe.js';
import type { CrashGuard } from '../quarantine/crash-guard.js';
import type { ServiceRetryBudget } from '../retry/service-retry-budget.js';
import type { SidecarSettings } from '../settings/sidecar-settings.js';
import { tableOf } from './follower-setup.js';

/** The parts of a sidecar that depend on its target. */
export interface TargetDependencies {
  readonly settings: SidecarSettings;
  readonly headers: TargetHeaders;
  readonly lease: TargetLease;
  readonly follower: Follower;
  readonly limiter: SlotLimiter;
  readonly admission: AdmissionController;
  readonly clock: Clock;
  readonly announcements: TargetAnnouncements;
  readonly rateLimiter: TargetRateLimiter;
  readonly instancePool: TargetConnectionPool;
  readonly crashGuard: CrashGuard;
  readonly retryBudget: ServiceRetryBudget;
  readonly kindPace: KindPaceTracker;
  readonly unservedRuns: UnservedRuns;
  readonly targetLoad: TargetLoadTracker;
  readonly stopProgress: StopProgress;
}

/** Reacts to changes of the target that the lease reports. */
export class SidecarTarget {
  /** Incarnation announced to control; increases with every start of the process and every new target. */
  incarnation: number;
  /** Service of the current or last target; empty before the first. */
  announcedService = '';
  private announcedTarget: HeldTarget | undefined;
  private hasProbed = false;

  /**
   * @param startedAt wall-clock time at which the process started, in milliseconds
   * @param getParts returns the parts; called only after all of them are created
   */
  constructor(
    startedAt: number,
    private readonly logger: Logger,
    private readonly getParts: () => TargetDependencies,
  ) {
    this.incarnation = startedAt;
  }

  /** Called when the target, its state or its slots may have changed. */
  onChanged(): void {
    const { lease, follower, admission, crashGuard, announcements } = this.getParts();
    const { current } = lease;
    if (current !== undefined) announcements.onTarget(current, current.incarnation);
    crashGuard.watch.onTarget(current);
    const isReplaced = current?.incarnation !== this.announcedTarget?.incarnation;
    if (isReplaced) this.onTargetReplaced(current);
    this.announcedTarget = current;
    this.configure();
    follower.announce(this.isLeaving ? 'leaving' : 'ready', isReplaced);
    if (lease.isReady) admission.dispatch();
    else admission.refuseWaiting();
  }

  /** Applies the slots of the target and the connections of its service. */
  configure(): void {
    const { lease, limiter, instancePool, follower } = this.getParts();
    const { current } = lease;
    if (current === undefined) return;
    limiter.setSlots(current.slots);
    instancePool.configure(tableOf(follower).serviceSpec(current.service).connections);
  }

  /**
   * Probes the health endpoint of the target once after the start of the process. Without the probe, the target would get no
   * calls until its next report, and a target that had announced a rate limit or its shutdown before could get too many.
   */
  async probeOnce(): Promise<void> {
    const { settings, follower, rateLimiter } = this.getParts();
    const { target: address, service } = settings;
    const table = tableOf(follower);
    if (this.hasProbed || table.serviceNames().length === 0) return;
    this.hasProbed = true;
    const path = table.serviceSpec(service).healthCheckPath;
    const canProbe = address !== undefined && address !== null && path !== undefined;
    rateLimiter.release(canProbe && (await this.probe({ address, service, path })));
  }

  /** @returns whether the current target, or the next one, has answered */
  private async probe(target: ProbedTarget): Promise<boolean> {
    const { lease, headers, announcements, clock } = this.getParts();
    const sentAt = clock.now();
    const answer = await probeTarget(target, headers);
    this.logger.info('Probed the health of the target.', {
      address: target.address,
      found: answer?.report?.instance,
    });
    if (answer === undefined) return false;
    const { instance, report, announcement } = answer;
    const { current } = lease;
    if (current !== undefined && current.instance !== instance) return false;
    announcements.onHealthAnswer(current ?? { instance }, sentAt, announcement);
    if (report !== undefined && lease.current === undefined) lease.onReport(report);
    return true;
  }

  /** Whether the target gets no new calls. */
  private get isLeaving(): boolean {
    const { stopProgress, lease } = this.getParts();
    return stopProgress.phase >= StopPhase.Finishing || !lease.isReady;
  }

  private onTargetReplaced(current: HeldTarget | undefined): void {
    const { logger } = this;
    const left = this.announcedTarget?.incarnation;
    this.incarnation += 1;
    const { kindPace, unservedRuns, targetLoad } = this.getParts();
    kindPace.reset();
    unservedRuns.reset();
    targetLoad.reset();
    this.onServiceChanged(current?.service ?? '');
    if (current === undefined) logger.info('There is no target now.', { left });
    else logger.info('Using a new target.', { ...current, left });
  }

  /** Resets the retry budget, which counts the calls of one service. */
  private onServiceChanged(service: string): void {
    if (service === this.announcedService || service === '') return;
    this.announcedService = service;
    this.getParts().retryBudget.reset();
  }
}
