/**
 * Refuses client requests at their first hop while a service on their path has no room for all of them, lowest rank first and
 * before any work. Answers tell which service that is and how much more is asked of it than it has ({@link Bottleneck}).
 * Nested calls are not refused: the work of their callers would be lost.
 *
 * Owns one {@link RoomLevel} for each bottleneck service, and which routes lead there. A process that has been told nothing, or
 * nothing for seconds, admits everything; the limits of the gates apply either way.
 */
import { MIN_OFFERED, RoomLevel, type OfferedMix } from '../admission/room-level.js';
import type { Bottleneck } from '../call/outcome.js';
import { BoundedMap } from '../common/bounded-map.js';
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import { IMPORTANCE_COUNT, LOWEST_IMPORTANCE, type Importance } from '../policy/importance.js';

/** Answers to a route before it may be refused: until then it may be one that targets call. */
const MIN_ANSWERS = 5;
/** Routes and services that are kept, to bound memory. */
const MAX_ROUTES = 1_000;
const MAX_SERVICES = 100;
/** Time after which a route that was not told a bottleneck any more is no longer taken to lead there, in milliseconds. */
const MAX_LINK_AGE_MS = 30_000;
/** Time constant over which requests are counted, in milliseconds. */
const MIX_MS = 5_000;
/** Weight of one answer in the mean time that a request takes of a service, and the time until one is told, in milliseconds. */
const WORK_WEIGHT = 0.05;
const DEFAULT_WORK_MS = 100;
/** Lower bound of the time that a request takes of a service, in milliseconds. */
const MIN_WORK_MS = 1;
/** Place of a returning request among those of its rank, as a multiple of that of a new one: it has less time left. */
const RETURNING_POSITION = 0.5;
/** Admitted parts below which a level is reported as refusing, and above which as open again. */
const REFUSING_BELOW = 0.9;
const OPEN_ABOVE = 0.99;
/** Shortest time between two reports about a service, in milliseconds; bounds the log. */
const MIN_CHANGE_MS = 1_000;

/** A request of a client, before anything of it is sent. */
export interface RoomRequest {
  readonly route: string;
  readonly importance: Importance;
  /** Time that the client spent on earlier attempts, in milliseconds. */
  readonly clientWaitedMs: number;
}

/** Why a request does not fit. */
export interface NoRoom {
  readonly service: string;
  /** Part of the requests of its rank that is admitted, 0 to 1. */
  readonly admittedPart: number;
}

/** A level began to refuse, or admits everything again. */
export interface RoomChange {
  readonly service: string;
  readonly isRefusing: boolean;
  /** Part of the requests that is admitted, 0 to 1. */
  readonly admittedPart: number;
  readonly pressure: number;
}

/** A number of events that decays with time. */
class DecayingCount {
  private value = 0;
  private updatedAt = 0;

  count(now: number): void {
    this.value = this.current(now) + 1;
    this.updatedAt = now;
  }

  current(now: number): number {
    return this.value * Math.exp((this.updatedAt - now) / MIX_MS);
  }
}

interface RouteState {
  answers: number;
  importance: Importance;
  readonly offered: DecayingCount;
  /** When the route was last told each service as its bottleneck, in monotonic milliseconds. */
  readonly toldAt: Map<string, number>;
}

interface ServiceState {
  readonly level: RoomLevel;
  /** Routes that lead to the service, with the time that one request takes of it, in milliseconds. */
  readonly routes: BoundedMap<number, RouteState>;
  isRefusing: boolean;
  changedAt: number;
}

export class FirstHopRoom {
  private readonly routes = new BoundedMap<RouteState>(MAX_ROUTES);
  /** Requests of clients by importance. */
  private readonly offered = Array.from({ length: IMPORTANCE_COUNT }, () => new DecayingCount());
  private readonly services = new BoundedMap<ServiceState>(MAX_SERVICES);

  /** @param onChange called when a level begins to refuse or is open again */
  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly onChange: (change: RoomChange) => void = () => undefined,
  ) {}

  /** Decides about a request of a client. @returns undefined if it is admitted */
  admit({ route, importance, clientWaitedMs }: RoomRequest): NoRoom | undefined {
    const state = this.routeState(route);
    state.importance = importance;
    state.offered.count(this.clock.now());
    this.offered[importance]!.count(this.clock.now());
    if (state.answers < MIN_ANSWERS) return undefined;
    const position = this.random.next() * (clientWaitedMs > 0 ? RETURNING_POSITION : 1);
    let noRoom: NoRoom | undefined;
    for (const [service, toldAt] of state.toldAt) {
      const target = this.services.get(service);
      if (target === undefined || target.level.isOpen) continue;
      if (this.clock.now() - toldAt > MAX_LINK_AGE_MS) continue;
      const admittedPart = target.level.admittedPartOf(importance, this.mixOf(target));
      if (position >= admittedPart && admittedPart < (noRoom?.admittedPart ?? 1)) {
        noRoom = { service, admittedPart };
      }
    }
    return noRoom;
  }

  /** A request of a client was answered or refused by a gate. @param told undefined if its path is under no pressure */
  onAnswer(route: string, told: Bottleneck | undefined): void {
    const state = this.routeState(route);
    state.answers += 1;
    if (told !== undefined) {
      state.toldAt.set(told.service, this.clock.now());
      const { routes } = this.serviceState(told.service);
      const before = routes.get(state) ?? told.workMs ?? DEFAULT_WORK_MS;
      const workMs = before + WORK_WEIGHT * ((told.workMs ?? before) - before);
      routes.set(state, Math.max(MIN_WORK_MS, workMs));
    }
    for (const [service, toldAt] of state.toldAt) {
      if (this.clock.now() - toldAt > MAX_LINK_AGE_MS) {
        this.unlink(state, service);
        continue;
      }
      // Another service is told while it is the most loaded one on the path: this one is at most as loaded.
      const pressure = told?.pressure ?? 1;
      this.onPressure(service, pressure, service === told?.service);
    }
  }

  /** Whether lower ranks are refused at their first hop so that requests of this importance find room at `service`. */
  favours(service: string, importance: Importance): boolean {
    return this.services.get(service)?.level.favours(importance) === true;
  }

  /** Part of the requests that lead to `service` which is admitted, 0 to 1, for each service that was a bottleneck. */
  *admittedParts(): Iterable<[service: string, part: number]> {
    for (const [service, { level }] of this.services) yield [service, level.admittedPart];
  }

  /** Forgets that a route leads to a service. */
  private unlink(route: RouteState, service: string): void {
    route.toldAt.delete(service);
    this.services.get(service)?.routes.delete(route);
  }

  /** @param isExact whether it is the pressure of the service, and not an upper bound */
  private onPressure(service: string, pressure: number, isExact: boolean): void {
    const state = this.services.get(service);
    if (state === undefined) return;
    const { level } = state;
    if (isExact || 1 / pressure > level.admittedPart) level.onPressure(pressure);
    const { admittedPart } = level;
    const isRefusing = state.isRefusing ? admittedPart < OPEN_ABOVE : admittedPart < REFUSING_BELOW;
    const now = this.clock.now();
    if (isRefusing === state.isRefusing || now - state.changedAt < MIN_CHANGE_MS) return;
    state.isRefusing = isRefusing;
    state.changedAt = now;
    this.onChange({ service, isRefusing, admittedPart, pressure });
  }

  private mixOf({ routes }: ServiceState): OfferedMix {
    const now = this.clock.now();
    const offered = new Array<number>(IMPORTANCE_COUNT).fill(0);
    for (const [{ importance, offered: requests }, workMs] of routes) {
      offered[importance]! += requests.current(now) * workMs;
    }
    const isPresent = this.offered.map((each) => each.current(now) >= MIN_OFFERED);
    return { offered, isPresent };
  }

  private routeState(route: string): RouteState {
    let state = this.routes.get(route);
    if (state === undefined) {
      state = {
        answers: 0,
        importance: LOWEST_IMPORTANCE,
        offered: new DecayingCount(),
        toldAt: new Map(),
      };
      this.routes.set(route, state);
    }
    return state;
  }

  private serviceState(service: string): ServiceState {
    let state = this.services.get(service);
    if (state === undefined) {
      state = {
        level: new RoomLevel(this.clock),
        routes: new BoundedMap<number, RouteState>(MAX_ROUTES),
        isRefusing: false,
        changedAt: -Infinity,
      };
      this.services.set(service, state);
    }
    return state;
  }
}
