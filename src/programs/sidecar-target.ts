/**
 * What follows in a sidecar when its target changes: who the target is decides what control is told, how many slots there
 * are, and which connections lead to it. Owns what was announced of the target; relies on the lease to say which target
 * is in use, and on the follower to announce it.
 */
import type { AdmissionController } from '../admission/admission-controller.js';
import type { SlotLimiter } from '../admission/slot-limiter.js';
import { StopPhase, type StopProgress } from '../call/stop-phase.js';
import type { Logger } from '../common/logger.js';
import type { Follower } from '../follower/follower.js';
import type { TargetHeaders } from '../http/target-headers.js';
import { incarnationName, isSameIncarnation, type Incarnation } from '../membership/incarnation.js';
import type { InstancePool } from '../membership/instance-pool.js';
import type { TargetLease, TargetReport } from '../membership/target-lease.js';
import { probeTarget } from '../membership/target-probe.js';
import type { CrashGuard } from '../quarantine/crash-guard.js';
import type { ServiceRetryBudget } from '../retry/service-retry-budget.js';
import type { SidecarSettings } from '../settings/sidecar-settings.js';
import { tableOf } from './following-process.js';

/** The parts of a sidecar that its target concerns. */
export interface TargetDependencies {
  readonly settings: SidecarSettings;
  readonly headers: TargetHeaders;
  readonly lease: TargetLease;
  readonly follower: Follower;
  readonly limiter: SlotLimiter;
  readonly admission: AdmissionController;
  readonly instancePool: InstancePool;
  readonly crashGuard: CrashGuard;
  readonly retryBudget: ServiceRetryBudget;
  readonly stopProgress: StopProgress;
}

export class SidecarTarget {
  /** Incarnation announced to control: higher for each start and each target after it. */
  incarnation: number;
  /** The service of the target, or of the last one; empty before the first. */
  announcedService = '';
  private announcedTarget: Incarnation | undefined;
  private hasProbed = false;

  /**
   * @param startedAt wall-clock milliseconds at which the process started
   * @param getParts called once all of them are built
   */
  constructor(
    startedAt: number,
    private readonly logger: Logger,
    private readonly getParts: () => TargetDependencies,
  ) {
    this.incarnation = startedAt;
  }

  /** The target, its state or its slots may have changed. */
  onChanged(): void {
    const { lease, follower, admission, crashGuard } = this.getParts();
    const { current } = lease;
    crashGuard.watch.onTarget(current);
    const isReplaced = !isSameTarget(current, this.announcedTarget);
    if (isReplaced) this.onTargetReplaced(current);
    this.announcedTarget = current;
    this.configure();
    follower.announce(this.isLeaving ? 'leaving' : 'ready', isReplaced);
    if (lease.isReady) admission.dispatch();
    else admission.refuseWaiting();
  }

  /** Adopts slots and connections, which both the target and the configuration may change. */
  configure(): void {
    const { lease, limiter, instancePool, follower } = this.getParts();
    const { current } = lease;
    if (current === undefined) return;
    limiter.setSlots(current.slots);
    instancePool.configure(tableOf(follower).serviceSpec(current.service).connections);
  }

  /**
   * Asks the target once for its health, if it has not reported itself yet: without that it stands idle until its next
   * report after a restart of the sidecar, up to 1.5 s.
   */
  async probeOnce(): Promise<void> {
    const { lease, settings, follower, headers } = this.getParts();
    const { target: address, service } = settings;
    const path = tableOf(follower).serviceSpec(service).healthCheckPath;
    if (this.hasProbed || lease.current !== undefined) return;
    if (address === undefined || address === null || path === undefined) return;
    this.hasProbed = true;
    const report = await probeTarget({ address, service, path }, headers);
    this.logger.info('The target was asked for its health.', { address, found: report?.instance });
    if (report !== undefined && lease.current === undefined) lease.onReport(report);
  }

  /** Whether the target gets no new work. */
  private get isLeaving(): boolean {
    const { stopProgress, lease } = this.getParts();
    return stopProgress.phase >= StopPhase.Finishing || !lease.isReady;
  }

  private onTargetReplaced(current: TargetReport | undefined): void {
    const { logger } = this;
    const left = this.announcedTarget && incarnationName(this.announcedTarget);
    this.incarnation += 1;
    this.onServiceChanged(current?.service ?? '');
    if (current === undefined) logger.info('There is no target now.', { left });
    else logger.info('The target is another one.', { ...current, left });
  }

  /** Arrivals at the target of another service say nothing about this one's budget. */
  private onServiceChanged(service: string): void {
    if (service === this.announcedService || service === '') return;
    this.announcedService = service;
    this.getParts().retryBudget.reset();
  }
}

function isSameTarget(first: Incarnation | undefined, second: Incarnation | undefined): boolean {
  if (first === undefined || second === undefined) return first === second;
  return isSameIncarnation(first, second);
}
