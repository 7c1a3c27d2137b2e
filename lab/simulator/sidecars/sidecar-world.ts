/**
 * Runs a call graph of sidecars in virtual time under varying load and counts the results that clients see.
 * A run is determined by its seed. Control replicas are not simulated.
 */
import { sampleExponential, SeededRandom } from '../../../src/common/random.js';
import { VirtualClock } from '../../../src/common/virtual-clock.js';
import { ArrivalLedger } from './arrival-ledger.js';
import type { CallGraph, SimRoute, SimService } from './call-graph.js';
import { ClientRequest, type RequestEnd } from './client-request.js';
import { RequestLineage } from './request-lineage.js';
import { SlotAccount } from './slot-account.js';
import { SimSidecar, type SidecarEnvironment, type SimAnswer } from './sim-sidecar.js';
import { SpeedBursts } from './speed-bursts.js';
import { NO_TARGET_FAULTS, type TargetFaults } from './sim-target-transport.js';

/** A phase of a run with its load. */
export interface DemandPhase {
  readonly durationMs: number;
  /** Multiple of the normal load of the routes. */
  readonly factor: number;
  /** Faults injected at targets during the phase, by service. Default: none. */
  readonly faults?: Readonly<Record<string, TargetFaults>>;
}

/** What the sidecars of a run do besides the default. */
export interface SidecarWorldOptions {
  /** Whether ingresses refuse requests that have no room at a service below. Default false. */
  readonly firstHopRoom?: boolean;
}

/** Results of the client requests of one route. */
export interface RouteResult {
  sent: number;
  /** Answered within the latency objective. */
  inTime: number;
  /** Answered after the objective, before the deadline. */
  late: number;
  refused: number;
  failed: number;
  /** Answers of 503, those that a client retried included. */
  notRunAnswers: number;
}

const MS_PER_SECOND = 1_000;
const STATUS_OK = 200;
const STATUS_NOT_RUN = 503;
/** Clients wait for `Retry-After` at most this fraction of their remaining time. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;
const DEFAULT_ZONES = 3;
/** Time at the end of a run for requests in flight to complete. */
const SETTLE_MS = 10_000;

export class SidecarWorld implements SidecarEnvironment {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  private readonly sidecars = new Map<string, SimSidecar>();
  private readonly allSidecars: SimSidecar[] = [];
  private readonly zones: readonly (readonly SimSidecar[])[];
  private readonly routes: Map<string, SimRoute>;
  private results = new Map<string, RouteResult>();
  private demandFactor = 1;
  private faults: Readonly<Record<string, TargetFaults>> = {};
  private isSendingRequests = true;
  /** Number of attempts sent so far, and of those sent to another zone. */
  readonly attempts = { sent: 0, crossing: 0 };
  /** Arrivals at targets, counted independently of the code under test. */
  readonly arrivals = new ArrivalLedger();
  /** What the slots of all targets were held for. */
  readonly slots = new SlotAccount();

  constructor(
    private readonly graph: CallGraph,
    seed: number,
    private readonly options: SidecarWorldOptions = {},
  ) {
    this.random = new SeededRandom(seed);
    this.routes = new Map(graph.routes.map((each) => [each.route.name, each]));
    for (const service of graph.services) {
      for (let index = 0; index < service.targets; index += 1) {
        const factor = service.workFactors[index % service.workFactors.length]!;
        const location = { index, zone: zoneOf(index, service.targets, graph.zones) };
        const speed = { factor, bursts: this.createBursts(service), longRuns: graph.longRuns };
        this.add(new SimSidecar(this, service, location, speed));
      }
    }
    const records = this.allSidecars.map((sidecar) => sidecar.record);
    for (const sidecar of this.allSidecars) sidecar.update(records);
    const zones = [...new Set(records.map(({ zone }) => zone))];
    this.zones = zones.map((zone) => this.allSidecars.filter(({ record }) => record.zone === zone));
  }

  get firstHopRoom(): boolean {
    return this.options.firstHopRoom === true;
  }

  route(name: string): SimRoute {
    return this.routes.get(name)!;
  }

  sidecar(id: string): SimSidecar {
    return this.sidecars.get(id)!;
  }

  /** Number of calls in progress at all targets. */
  get running(): number {
    return this.allSidecars.reduce((total, sidecar) => total + sidecar.running, 0);
  }

  onAttempt(crossesZones: boolean): void {
    this.attempts.sent += 1;
    if (crossesZones) this.attempts.crossing += 1;
  }

  targetFaults(service: string): TargetFaults {
    return this.faults[service] ?? NO_TARGET_FAULTS;
  }

  /** Restarts a random sidecar at each interval until the run ends. */
  restartEvery(intervalMs: number): void {
    this.clock.schedule(intervalMs, () => {
      if (!this.isSendingRequests) return;
      this.allSidecars[this.random.nextInt(this.allSidecars.length)]!.restart();
      this.restartEvery(intervalMs);
    });
  }

  /** Runs the phases in sequence. @returns for each phase, the results by route of the requests started in it */
  run(phases: readonly DemandPhase[]): Map<string, RouteResult>[] {
    for (const each of this.routes.values()) {
      if (each.perSecond > 0) this.scheduleNext(each);
    }
    const results = phases.map((phase) => {
      this.demandFactor = phase.factor;
      this.faults = phase.faults ?? {};
      this.results = new Map();
      this.clock.advance(phase.durationMs);
      return this.results;
    });
    this.isSendingRequests = false;
    this.clock.advance(SETTLE_MS);
    return results;
  }

  private add(sidecar: SimSidecar): void {
    this.sidecars.set(sidecar.record.id, sidecar);
    this.allSidecars.push(sidecar);
  }

  private scheduleNext(route: SimRoute): void {
    const meanMs = MS_PER_SECOND / (route.perSecond * this.demandFactor);
    this.clock.schedule(sampleExponential(this.random, meanMs), () => {
      if (!this.isSendingRequests) return;
      this.scheduleNext(route);
      this.sendRequest(route);
    });
  }

  private sendRequest(route: SimRoute): void {
    const result = this.resultOf(route.route.name);
    result.sent += 1;
    const request = new ClientRequest(route.route.name, this.clock.now());
    this.attempt(route, result, request, route.clientRetries);
  }

  private attempt(
    route: SimRoute,
    result: RouteResult,
    request: ClientRequest,
    retries: number,
  ): void {
    const leftMs = request.sentAt + route.deadlineMs - this.clock.now();
    const ingress = this.chooseIngress();
    request.attempts += 1;
    const lineage = new RequestLineage(false, request, request.attempts);
    ingress.ingress(route, leftMs, lineage, (answer) =>
      this.onAnswer(route, result, request, retries, answer),
    );
  }

  private chooseIngress(): SimSidecar {
    const sidecars = this.graph.zoneDemand === undefined ? this.allSidecars : this.chooseZone();
    return sidecars[this.random.nextInt(sidecars.length)]!;
  }

  /** @returns the sidecars of a zone that is chosen by its demand */
  private chooseZone(): readonly SimSidecar[] {
    const demand = this.graph.zoneDemand!;
    let draw = this.random.next() * demand.reduce((total, each) => total + each, 0);
    const index = demand.findIndex((each) => (draw -= each) < 0);
    return this.zones[Math.max(0, index)]!;
  }

  private createBursts({ bursts }: SimService): SpeedBursts | undefined {
    return bursts === undefined ? undefined : new SpeedBursts(bursts, this.random);
  }

  private onAnswer(
    route: SimRoute,
    result: RouteResult,
    request: ClientRequest,
    retries: number,
    answer: SimAnswer,
  ): void {
    if (answer.status === STATUS_NOT_RUN) result.notRunAnswers += 1;
    const tookMs = this.clock.now() - request.sentAt;
    const leftMs = route.deadlineMs - tookMs;
    const { status, retryAfterSeconds } = answer;
    const mayRepeat = route.route.repeatable || status === STATUS_NOT_RUN;
    if (status !== STATUS_OK && retries > 0 && mayRepeat && leftMs > 0) {
      const waitMs = Math.min(retryAfterSeconds * MS_PER_SECOND, leftMs * MAX_RETRY_AFTER_FRACTION);
      this.clock.schedule(waitMs, () => this.attempt(route, result, request, retries - 1));
      return;
    }
    request.end = endOf(status, tookMs <= route.route.objectiveMs);
    count(result, request.end);
  }

  private resultOf(name: string): RouteResult {
    let result = this.results.get(name);
    if (result === undefined) {
      result = { sent: 0, inTime: 0, late: 0, refused: 0, failed: 0, notRunAnswers: 0 };
      this.results.set(name, result);
    }
    return result;
  }
}

function endOf(status: number, isInTime: boolean): RequestEnd {
  if (status === STATUS_OK) return isInTime ? 'in-time' : 'late';
  return status === STATUS_NOT_RUN ? 'refused' : 'failed';
}

function count(result: RouteResult, end: RequestEnd): void {
  if (end === 'in-time') result.inTime += 1;
  else if (end === 'late') result.late += 1;
  else if (end === 'refused') result.refused += 1;
  else result.failed += 1;
}

/** @param zones number of contiguous blocks; undefined assigns zones in rotation */
function zoneOf(index: number, targets: number, zones: number | undefined): string {
  if (zones === undefined) return `zone-${index % DEFAULT_ZONES}`;
  return `zone-${Math.floor((index * zones) / targets)}`;
}
