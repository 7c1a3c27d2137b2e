/**
 * `shoredoor sidecar`: the node beside one target that is also the ingress of its machine. Wires the
 * parts together and stops them in order.
 */
import type { Registry } from 'prom-client';
import type { AdmissionController } from '../admission/admission-controller.js';
import { CongestionLevel } from '../admission/congestion-level.js';
import { SlotLimiter } from '../admission/slot-limiter.js';
import { CallStats } from '../call/call-stats.js';
import { SLOT_FRACTION } from '../gate/gate-policy.js';
import { RequestJournal } from '../call/request-journal.js';
import { SystemClock } from '../common/clock.js';
import type { ConfigurationView } from '../follower/configuration-view.js';
import { ControlClient } from '../http/control-client.js';
import { Follower } from '../follower/follower.js';
import { InstancePool } from '../membership/instance-pool.js';
import { ListeningServer } from '../http/listening-server.js';
import { LinkPool } from '../link/link-pool.js';
import { LinkServer } from '../link/link-server.js';
import { DEFAULT_TARGET_HEADERS, type TargetHeaders } from '../http/target-headers.js';
import { incarnationName, isSameIncarnation, type Incarnation } from '../membership/incarnation.js';
import { RegistrationApi } from '../membership/registration-api.js';
import { refusesConnections } from '../membership/port-probe.js';
import { TargetLease } from '../membership/target-lease.js';
import { probeTarget } from '../membership/target-probe.js';
import { startAdminServer } from '../observe/admin-server.js';
import type { Logger } from '../common/logger.js';
import { createNodeMetrics } from '../observe/node-metrics.js';
import { registerQuarantineMetrics } from '../observe/quarantine-metrics.js';
import { registerRetryMetrics } from '../observe/retry-metrics.js';
import { IMPORTANCE_COUNT } from '../policy/importance.js';
import { CrashGuard } from '../quarantine/crash-guard.js';
import { IngressQuota } from '../quota/ingress-quota.js';
import { RepeatedRuns } from '../retry/repeated-runs.js';
import { ServiceRetryBudget } from '../retry/service-retry-budget.js';
import { EMPTY_POLICY_TABLE, type PolicyTable } from '../policy/policy-table.js';
import type { ServiceDirectory } from '../routing/service-directory.js';
import { WeightedSplit } from '../routing/weighted-split.js';
import type { SidecarSettings } from '../settings/sidecar-settings.js';
import { processRandom } from './process-random.js';
import type { Program } from './program.js';
import { createGateAdmission, createSidecarDirectory } from './sidecar-parts.js';
import { createGate, createIngress, type SidecarServerParts } from './sidecar-servers.js';
import { SidecarStop } from './sidecar-stop.js';
import { StopPhase, StopProgress } from '../call/stop-phase.js';

/** What a deployment may have in its own way. */
export interface SidecarVariations {
  readonly headers: TargetHeaders;
}

const DEFAULT_VARIATIONS: SidecarVariations = { headers: DEFAULT_TARGET_HEADERS };

/** The ingress takes larger headers than routes may allow, so that it can say what the limit is. */
const MAX_HEADER_BYTES = 256 * 1024;

/** Starts a sidecar. */
export async function startSidecar(
  settings: SidecarSettings,
  logger: Logger,
  variations: SidecarVariations = DEFAULT_VARIATIONS,
): Promise<Program<SidecarSettings>> {
  return new SidecarProcess(settings, logger, variations).start();
}

class SidecarProcess {
  private readonly clock = new SystemClock();
  private readonly startedAt = Date.now();
  private readonly random = processRandom();
  private readonly inboundStats = new CallStats();
  private readonly outboundStats = new CallStats();
  private readonly links: LinkPool;
  private readonly limiter = new SlotLimiter(SLOT_FRACTION);
  private readonly split = new WeightedSplit(this.random);
  /** Of the calls that wait for the target, by importance, and of those that it makes. */
  private readonly queueLevels: readonly CongestionLevel[];
  private readonly downstream: CongestionLevel;
  private readonly retryBudget: ServiceRetryBudget;
  private readonly repeatedRuns: RepeatedRuns;
  private readonly journal: RequestJournal;
  private readonly lease: TargetLease;
  private readonly instancePool: InstancePool;
  private readonly crashGuard: CrashGuard;
  private readonly quota: IngressQuota;
  private readonly admission: AdmissionController;
  private readonly directory: ServiceDirectory;
  private readonly follower: Follower;
  private advertised = '';
  /** Incarnation announced to control: higher for each start and each target after it. */
  private incarnation = this.startedAt;
  private announcedTarget: Incarnation | undefined;
  private announcedService = '';
  private hasLookedForTarget = false;
  private readonly stopProgress = new StopProgress(this.clock);

  constructor(
    private readonly settings: SidecarSettings,
    private readonly logger: Logger,
    private readonly variations: SidecarVariations,
  ) {
    const { clock } = this;
    this.queueLevels = Array.from({ length: IMPORTANCE_COUNT }, () => new CongestionLevel(clock));
    this.downstream = new CongestionLevel(clock);
    this.retryBudget = new ServiceRetryBudget({
      clock,
      ...settings.retries,
      gates: () => this.directory.machines.get(this.lease.current?.service ?? '') ?? 1,
    });
    this.repeatedRuns = new RepeatedRuns();
    this.links = new LinkPool(settings.linkToken);
    this.journal = new RequestJournal(clock, logger.part('request'));
    this.lease = new TargetLease(clock, settings.targetSilentMs, () => this.onTargetChanged());
    this.instancePool = new InstancePool(clock);
    this.crashGuard = this.createCrashGuard();
    this.admission = createGateAdmission(clock, this.random, this.limiter);
    this.directory = createSidecarDirectory(clock, this.random, settings);
    this.quota = new IngressQuota({
      clock,
      startedAt: this.startedAt,
      windowMs: settings.quota.windowMs,
      onShort: () => this.follower.askLeader(),
    });
    this.follower = this.createFollower();
  }

  async start(): Promise<Program<SidecarSettings>> {
    const { settings, logger } = this;
    const parts = this.serverParts();
    const gate = createGate(parts);
    const ingress = createIngress(parts);
    const inbound = await LinkServer.start(settings.inbound, settings.linkToken, gate.handle);
    const outbound = await ListeningServer.start(settings.outbound, ingress.handle, {
      maxHeaderBytes: MAX_HEADER_BYTES,
    });
    const registration = await ListeningServer.start(
      settings.registration,
      new RegistrationApi(this.lease, logger.part('target'), (service) => this.isKnown(service))
        .handle,
    );
    this.advertised = settings.advertise ?? inbound.origin;
    const admin = await startAdminServer({
      address: settings.admin,
      registry: this.createMetrics(),
      readiness: () => this.readiness(),
    });
    this.onConfiguration = (view): void => this.adoptConfiguration(view, outbound);
    this.follower.start();
    const expiry = setInterval(() => this.onTargetChanged(), settings.heartbeatIntervalMs);
    const origins = {
      inbound: inbound.origin,
      outbound: outbound.origin,
      registration: registration.origin,
      admin: admin.origin,
    };
    logger.info('Listening.', origins);
    const stop = new SidecarStop({
      ...this.stoppingParts(),
      gate,
      ingress,
      linkServer: inbound,
      ingressServer: outbound,
      otherServers: [registration, admin],
    });
    return {
      origins,
      reload: (next: SidecarSettings) => this.follower.setSeeds(next.control),
      stop: async () => {
        clearInterval(expiry);
        await stop.run(settings.stop);
      },
    };
  }

  private stoppingParts() {
    const { stopProgress: progress, logger, journal, follower, admission } = this;
    const { inboundStats, outboundStats, links, instancePool } = this;
    return {
      progress,
      logger,
      journal,
      follower,
      admission,
      inboundStats,
      outboundStats,
      links,
      instancePool,
    };
  }

  /** Set once the servers listen. */
  private onConfiguration: (view: ConfigurationView) => void = () => undefined;

  /** Whether the target gets no new work. */
  private get isLeaving(): boolean {
    return this.stopProgress.phase >= StopPhase.Finishing || !this.lease.isReady;
  }

  private get table(): PolicyTable {
    return this.follower.view.table ?? EMPTY_POLICY_TABLE;
  }

  private createMetrics(): Registry {
    const { inboundStats, outboundStats, admission, follower } = this;
    const registry = createNodeMetrics(inboundStats, outboundStats, admission, follower);
    registerRetryMetrics(registry, this.retryBudget);
    registerQuarantineMetrics(registry, {
      crashes: () => this.crashGuard.crashes,
      quarantines: () => this.table.quarantineCount,
    });
    return registry;
  }

  private createCrashGuard(): CrashGuard {
    const { clock, logger, lease } = this;
    return new CrashGuard({
      clock,
      logger: logger.part('target'),
      target: () => lease.current,
      refusesConnections,
      table: () => this.table,
      onDown: (instance) => lease.onDown(instance),
      onNews: () => this.follower.announceChange(),
    });
  }

  private createFollower(): Follower {
    const { clock, random, settings, logger } = this;
    return new Follower({
      clock,
      random,
      client: new ControlClient(settings.linkToken),
      controlOrigins: settings.control,
      heartbeatIntervalMs: settings.heartbeatIntervalMs,
      logger: logger.part('follower'),
      identity: () => ({
        id: settings.id,
        role: 'node',
        incarnation: this.incarnation,
        zone: settings.zone,
        // Without a target the last one's, or its endpoint would stay listed as it was.
        service: this.lease.current?.service ?? (this.announcedService || undefined),
        origin: this.advertised,
        claimEpoch: 0,
        crashNews: this.crashGuard.news(),
        quota: this.quota.report(),
      }),
      onReply: ({ quota }, sentAt) => {
        if (quota !== undefined) this.quota.onGrants(quota, sentAt);
      },
      onConfiguration: (view) => this.onConfiguration(view),
      onEndpoints: (view) => this.adoptEndpoints(view),
      onSuspects: ({ suspects }) => this.crashGuard.onSuspects(suspects),
      onSuperseded: () => logger.error('Another process with this id is newer.'),
    });
  }

  private serverParts(): SidecarServerParts {
    const { clock, random, settings, variations, links, split, admission, lease } = this;
    const { journal, queueLevels, downstream, retryBudget, repeatedRuns, crashGuard } = this;
    const { directory, instancePool, inboundStats, outboundStats, stopProgress, quota } = this;
    return {
      clock,
      random,
      settings,
      headers: variations.headers,
      links,
      split,
      admission,
      lease,
      journal,
      queueLevels,
      downstream,
      retryBudget,
      repeatedRuns,
      crashGuard,
      directory,
      instancePool,
      inboundStats,
      outboundStats,
      stopProgress,
      quota,
      table: () => this.follower.view.table,
      proofAgeMs: () => this.follower.proofAgeMs(),
    };
  }

  private readiness(): { ready: boolean; detail: string } {
    if (this.stopProgress.phase !== StopPhase.Running) return { ready: false, detail: 'leaving' };
    const isReady = this.follower.view.table !== undefined;
    return { ready: isReady, detail: isReady ? 'ready' : 'no configuration yet' };
  }

  private adoptConfiguration(view: ConfigurationView, ingress: ListeningServer): void {
    const { ingress: limits } = view.table ?? EMPTY_POLICY_TABLE;
    ingress.setTimeouts(limits.headerTimeoutMs, limits.idleTimeoutMs);
    this.configureTarget();
    void this.lookForTarget();
  }

  /** Before the first set no service is declared, and targets are believed: they report themselves some seconds earlier. */
  private isKnown(service: string): boolean {
    const declared = this.table.serviceNames();
    return declared.length === 0 || declared.includes(service);
  }

  /** Asks the target once for its health, if it has not reported itself yet. */
  private async lookForTarget(): Promise<void> {
    const { target: address, service } = this.settings;
    const path = this.table.serviceSpec(service).healthCheckPath;
    if (this.hasLookedForTarget || this.lease.current !== undefined) return;
    if (address === undefined || address === null || path === undefined) return;
    this.hasLookedForTarget = true;
    const report = await probeTarget({ address, service, path }, this.variations.headers);
    this.logger.info('The target was asked for its health.', { address, found: report?.instance });
    if (report !== undefined && this.lease.current === undefined) this.lease.onReport(report);
  }

  private adoptEndpoints(view: ConfigurationView): void {
    this.directory.update(view.endpointList());
    this.links.retain(this.directory.origins());
  }

  /** The target, its state or its slots may have changed. */
  private onTargetChanged(): void {
    const { lease, follower, logger } = this;
    const { current } = lease;
    this.crashGuard.watch.onTarget(current);
    const isOther = !isSameTarget(current, this.announcedTarget);
    if (isOther) {
      const left = this.announcedTarget && incarnationName(this.announcedTarget);
      this.incarnation += 1;
      this.onServiceChanged(current?.service ?? '');
      if (current === undefined) logger.info('There is no target now.', { left });
      else logger.info('The target is another one.', { ...current, left });
    }
    this.announcedTarget = current;
    this.configureTarget();
    follower.announce(this.isLeaving ? 'leaving' : 'ready', isOther);
    if (lease.isReady) this.admission.dispatch();
    else this.admission.refuseWaiting();
  }

  /** Arrivals at the target of another service say nothing about this one's budget. */
  private onServiceChanged(service: string): void {
    if (service === this.announcedService || service === '') return;
    this.announcedService = service;
    this.retryBudget.reset();
  }

  private configureTarget(): void {
    const { current } = this.lease;
    if (current === undefined) return;
    this.limiter.setSlots(current.slots);
    this.instancePool.configure(this.table.serviceSpec(current.service).connections);
  }
}

function isSameTarget(first: Incarnation | undefined, second: Incarnation | undefined): boolean {
  if (first === undefined || second === undefined) return first === second;
  return isSameIncarnation(first, second);
}
