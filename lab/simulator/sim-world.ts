/**
 * A simulated deployment of edges and nodes in virtual time. A simplified control plans claim views and
 * distributes the endpoint list with a delay. The same seed always gives the same run.
 */
import type { CallContext } from '../../src/call/call-context.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { nextClaimView } from '../../src/control/claim-view-planner.js';
import type { ClaimView } from '../../src/dedup/claim-view.js';
import { LOWEST_IMPORTANCE } from '../../src/policy/importance.js';
import { PolicyTable } from '../../src/policy/policy-table.js';
import type { Resource } from '../../src/policy/resource-schema.js';
import type { EndpointRecord } from '../../src/call/endpoint.js';
import { ServiceDirectory } from '../../src/routing/service-directory.js';
import type { AttemptAnswer, AttemptSender, CallerAttempt } from '../model/caller-model.js';
import {
  apiKeyOf,
  placeTargets,
  type Deployment,
  type NestedCallModel,
} from '../model/deployment.js';
import type { Mechanisms } from './mechanisms.js';
import { DirectPath } from './direct-path.js';
import { SimEdge } from './sim-edge.js';
import { SimNetwork, type SimMachine } from './sim-network.js';
import { SimTarget } from './sim-target.js';
import type { Cancellable } from '../model/cancellable.js';

export interface SimWorldOptions {
  readonly deployment: Deployment;
  readonly resources: readonly Resource[];
  readonly seed: number;
  readonly edges: number;
  readonly mechanisms: Mechanisms;
  /** Time until a change of the endpoint list reaches every machine. */
  readonly listDelayMs: number;
}

/** How often the claim views are planned. */
const CLAIM_VIEW_INTERVAL_MS = 1_000;
const UNATTRIBUTED_GROUP = 'unattributed';
const DEFAULT_DEADLINE_MS = 2_000;

export class SimWorld {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly network: SimNetwork;
  readonly targets: SimTarget[];
  readonly edges: SimEdge[];
  /** Pairs of machines that have an open connection, as `from>to`. */
  readonly connections = new Set<string>();
  table: PolicyTable;
  private readonly targetsById: Map<string, SimTarget>;
  private readonly directories = new Set<ServiceDirectory>();
  private readonly processEndListeners = new Map<SimMachine, Map<object, () => void>>();
  private records: EndpointRecord[] = [];
  private readonly claimViews = new Map<string, ClaimView>();
  /** When each node was last seen alive. */
  private readonly lastAliveAt = new Map<string, number>();

  constructor(private readonly options: SimWorldOptions) {
    const { deployment, seed, mechanisms } = options;
    this.random = new SeededRandom(seed);
    this.network = new SimNetwork({
      clock: this.clock,
      random: this.random,
      zoneLatencyMs: deployment.zoneLatencyMs,
    });
    this.table = new PolicyTable(1, options.resources);
    this.targets = placeTargets(deployment).map(
      (placement) => new SimTarget(placement, this, this.random, mechanisms),
    );
    this.targetsById = new Map(this.targets.map((target) => [target.placement.nodeId, target]));
    this.edges = Array.from({ length: options.edges }, (_, index) => {
      const zone = deployment.zones[index % deployment.zones.length]!;
      return new SimEdge(`edge-${index + 1}`, zone, this, this.random, mechanisms);
    });
    this.publishEndpoints();
    this.planClaimViews();
  }

  target(nodeId: string): SimTarget {
    return this.targetsById.get(nodeId)!;
  }

  claimReplicaHost(nodeId: string): SimTarget {
    return this.target(nodeId);
  }

  targetsOf(service: string): SimTarget[] {
    return this.targets.filter((target) => target.placement.service.name === service);
  }

  /** Creates a directory for the process on `machine` and keeps it up to date with the endpoint list. */
  createDirectory(machine: SimMachine): ServiceDirectory {
    const directory = new ServiceDirectory({
      clock: this.clock,
      random: this.random,
      callerId: machine.id,
      callerZone: machine.zone,
      slowStartMs: (service) => this.table.serviceSpec(service).slowStartMs,
    });
    this.directories.add(directory);
    directory.update(this.records);
    return directory;
  }

  get mechanisms(): Mechanisms {
    return this.options.mechanisms;
  }

  /** Time until a change of the platform's list is known, in milliseconds. */
  get listDelayMs(): number {
    return this.options.listDelayMs;
  }

  /** The current claim view of a service, for a process that has just started. */
  claimViewOf(service: string): ClaimView | undefined {
    return this.claimViews.get(service);
  }

  /** Updates a directory to the current endpoint list, as at the start of a process. */
  refreshDirectory(directory: ServiceDirectory): void {
    directory.update(this.records);
  }

  /** Draws a one-way latency between callers and the deployment. */
  clientLatencyMs(): number {
    return this.network.jitter(this.options.deployment.clientLatencyMs);
  }

  /** Schedules the distribution of a changed endpoint list after the list's delay. */
  scheduleEndpointUpdate(): void {
    this.clock.schedule(this.options.listDelayMs, () => this.publishEndpoints());
  }

  /** Returns a function that sends callers' attempts to the edges in turn, over the client latency. */
  createAttemptSender(): AttemptSender {
    let turn = 0;
    const groupByKey = new Map(this.table.groupNames().map((name) => [apiKeyOf(name), name]));
    const direct = new DirectPath(this, this.random);
    return (attempt, done) => {
      if (!this.options.mechanisms.shoredoor) return this.sendDirect(direct, attempt, done);
      const edge = this.edges[turn % this.edges.length]!;
      turn += 1;
      const group = groupByKey.get(attempt.apiKey) ?? UNATTRIBUTED_GROUP;
      return this.sendAttempt(edge, attempt, group, done);
    };
  }

  /** Registers a callback for the end of the process on `machine`; one per owner. */
  onProcessEnd(machine: SimMachine, owner: object, callback: () => void): void {
    let callbacks = this.processEndListeners.get(machine);
    if (callbacks === undefined) {
      callbacks = new Map();
      this.processEndListeners.set(machine, callbacks);
    }
    callbacks.set(owner, callback);
  }

  removeProcessEndListener(machine: SimMachine, owner: object): void {
    this.processEndListeners.get(machine)?.delete(owner);
  }

  /** Ends the process on a machine immediately and closes its connections. */
  kill(machine: SimMachine): void {
    machine.kill();
    const callbacks = this.processEndListeners.get(machine);
    this.processEndListeners.delete(machine);
    for (const callback of callbacks?.values() ?? []) callback();
    for (const pair of this.connections) {
      if (pair.endsWith(`>${machine.id}`) || pair.startsWith(`${machine.id}>`)) {
        this.connections.delete(pair);
      }
    }
  }

  /** The context of a nested call that cannot be attributed to an inbound call. */
  unattributedContext(call: NestedCallModel): CallContext {
    const kind = this.table.matchKind(call.method, call.path);
    return {
      requestId: 'unattributed',
      group: UNATTRIBUTED_GROUP,
      kind: kind?.name ?? 'unknown',
      importance: kind?.importance ?? LOWEST_IMPORTANCE,
      deadlineAt: this.clock.now() + (kind?.deadlineMs ?? DEFAULT_DEADLINE_MS),
      retries: 0,
    };
  }

  private sendDirect(
    direct: DirectPath,
    attempt: CallerAttempt,
    done: (answer: AttemptAnswer) => void,
  ): Cancellable {
    let isDone = false;
    const finish = (answer: AttemptAnswer): void => {
      if (isDone) return;
      isDone = true;
      timer.cancel();
      done(answer);
    };
    const timer = this.clock.schedule(attempt.timeoutMs, () => {
      handle.cancel();
      finish({ status: 0, verdict: undefined, retryAfterSeconds: 0, check: undefined });
    });
    const handle = direct.sendFromCaller(attempt, finish);
    return {
      cancel: () => {
        isDone = true;
        timer.cancel();
        handle.cancel();
      },
    };
  }

  private sendAttempt(
    edge: SimEdge,
    attempt: Parameters<AttemptSender>[0],
    group: string,
    done: (answer: AttemptAnswer) => void,
  ): Cancellable {
    let isDone = false;
    let atEdge: Cancellable | undefined;
    const finish = (answer: AttemptAnswer): void => {
      if (isDone) return;
      isDone = true;
      timer.cancel();
      done(answer);
    };
    const cancel = (): void => {
      isDone = true;
      timer.cancel();
      this.clock.schedule(this.clientLatencyMs(), () => atEdge?.cancel());
    };
    const timer = this.clock.schedule(attempt.timeoutMs, () => {
      if (isDone) return;
      cancel();
      done({ status: 0, verdict: undefined, retryAfterSeconds: 0, check: undefined });
    });
    this.clock.schedule(this.clientLatencyMs(), () => {
      if (isDone) return;
      atEdge = edge.handle(attempt, group, (answer) => {
        this.clock.schedule(this.clientLatencyMs(), () => finish(answer));
      });
    });
    return { cancel };
  }

  /** Plans claim views, as control does, and sends them to every live node after the list's delay. */
  private planClaimViews(): void {
    for (const { name } of this.options.deployment.services) this.planClaimView(name);
    this.clock.schedule(CLAIM_VIEW_INTERVAL_MS, () => this.planClaimViews());
  }

  private planClaimView(service: string): void {
    const now = this.clock.now();
    const live = this.targetsOf(service).filter(
      ({ machine }) => machine.isAlive && !machine.isFrozen,
    );
    for (const { machine } of live) this.lastAliveAt.set(machine.id, now);
    const next = nextClaimView({
      service,
      current: this.claimViews.get(service),
      candidates: live.map(({ machine, claimReplica, isLeaving }) => ({
        id: machine.id,
        zone: machine.zone,
        incarnation: machine.incarnation,
        isLeaving,
        settledEpoch: claimReplica.settledEpoch,
      })),
      sinceHeartbeatMs: (id) => now - (this.lastAliveAt.get(id) ?? 0),
    });
    if (next === undefined) return;
    this.claimViews.set(service, next);
    const delayMs = now === 0 ? 0 : this.options.listDelayMs;
    this.clock.schedule(delayMs, () => {
      for (const target of this.targetsOf(service)) {
        target.machine.runOrDefer(() => target.claimReplica.setView(next));
      }
    });
  }

  private publishEndpoints(): void {
    this.records = this.targets
      .filter((target) => target.machine.isAlive)
      .map((target) => ({
        id: target.placement.nodeId,
        incarnation: target.machine.incarnation,
        service: target.placement.service.name,
        zone: target.placement.zone,
        origin: `http://${target.placement.nodeId}`,
        state: target.isLeaving ? 'leaving' : 'ready',
      }));
    for (const directory of this.directories) directory.update(this.records);
  }
}
