/**
 * Collects the crashes of targets at one control replica, and determines which requests caused them. The state is not
 * replicated, because every sidecar reports to every replica.
 *
 * A request is blamed if it was in flight in several crashes and has not succeeded anywhere since the first of them. If
 * other requests were in flight in exactly the same crashes, more crashes are required. Crashes attributed to one request
 * don't count against others. A request is blamed for a single caller, or for all callers once crashes under it came from
 * different ones. docs/design/quarantine.md describes the rule.
 */
import type { Clock } from '../common/clock.js';
import { hasCaller, withoutCaller } from './request-fingerprint.js';
import type { CrashUpdate, CrashReport, CrashSuspect, SuspectList } from './crash-report.js';

/**
 * Number of crashes under a request after which it is blamed. With fewer, a request that was in flight by chance could be
 * blamed; with more, more targets crash.
 */
export const CRASHES_TO_BLAME = 3;
/** The same if other requests were in flight in exactly the same crashes. */
const CRASHES_TO_BLAME_ALIKE = 5;
/** Number of crashes under a request from which gates are asked whether it has succeeded there. */
const CRASHES_TO_SUSPECT = 2;
/**
 * How long to wait for the answers of the gates, in milliseconds. Together with the commit of the quarantine this must stay
 * well below 3 s, the time within which all processes must know of it. Two pushes over control links take about 10 ms; the rest
 * allows for busy processes.
 */
const ACQUITTAL_WAIT_MS = 700;
/** Crashes are evicted after this long, in milliseconds, or if there are more than {@link MAX_CRASHES}. */
const CRASH_TTL_MS = 60 * 60_000;
const MAX_CRASHES = 512;
/** Largest number of suspects in one list. Bounds the size of a sync. */
const MAX_SUSPECTS = 128;

interface Crash {
  readonly at: number;
  readonly fingerprints: Set<string>;
}

/** A quarantine in the replicated store. */
export interface KnownQuarantine {
  readonly fingerprint: string;
  /** False while the request is on probation: the next crash renews the quarantine. */
  readonly inForce: boolean;
}

/** The crashes in which one request was in flight. */
interface Suspicion {
  readonly crashes: Crash[];
}

export class CrashEvidence {
  /**
   * By the incarnation that crashed, oldest first. A crash whose fingerprints were all removed is kept, so that a repeated
   * report of it is ignored.
   */
  private readonly crashes = new Map<string, Crash>();
  private version = 1;
  /** Cached for one version: many followers request the same list. */
  private suspicionsRead:
    { readonly version: number; readonly all: Map<string, Suspicion> } | undefined;
  /** Fingerprints in quarantine; they are not blamed again. */
  private inForce: ReadonlySet<string> = new Set();
  /** Fingerprints on probation, with the time when this was observed. The first crash after it makes them suspects. */
  private probation: ReadonlyMap<string, number> = new Map();

  constructor(private readonly clock: Clock) {}

  /** Applies the report of a sidecar. @returns whether the list of suspects may have changed */
  applyUpdate({ crashes, acquitted }: CrashUpdate): boolean {
    const before = this.version;
    for (const report of crashes) this.add(report);
    for (const fingerprint of acquitted) this.acquit(fingerprint);
    return this.version !== before;
  }

  /** Increases with each change of the list of suspects. */
  get suspectVersion(): number {
    return this.version;
  }

  /** Returns the requests for which gates are asked whether they have succeeded there. */
  suspectList(): SuspectList {
    const now = this.clock.now();
    const suspects: CrashSuspect[] = [];
    for (const [fingerprint, { crashes }] of this.suspicions()) {
      const needed = this.probation.has(fingerprint) ? 1 : CRASHES_TO_SUSPECT;
      const counted = this.sinceProbation(fingerprint, crashes);
      if (counted.length < needed) continue;
      suspects.push({ fingerprint, firstCrashAgoMs: now - counted[0]!.at });
    }
    return { version: this.version, suspects: suspects.slice(-MAX_SUSPECTS) };
  }

  /** Returns the number of crashes in which the request was in flight, except those attributed to another request. */
  crashCount(fingerprint: string): number {
    return this.suspicions().get(fingerprint)?.crashes.length ?? 0;
  }

  /** Replaces the known quarantines. The crashes under a request that is no longer among them are discarded. */
  setQuarantines(quarantines: readonly KnownQuarantine[]): void {
    const before = [...this.inForce, ...this.probation.keys()];
    const now = this.clock.now();
    const namesOf = (inForce: boolean): Set<string> =>
      new Set(
        quarantines.filter((each) => each.inForce === inForce).map((each) => each.fingerprint),
      );
    this.inForce = namesOf(true);
    this.probation = new Map(
      [...namesOf(false)].map((name) => [name, this.probation.get(name) ?? now]),
    );
    for (const name of before) {
      if (!this.inForce.has(name) && !this.probation.has(name)) this.acquit(name);
    }
    for (const name of this.inForce) this.attributeCrashes(name);
  }

  /** Whether a request on probation was in flight in a crash, and no gate has reported that it succeeded. */
  shouldRenew(fingerprint: string): boolean {
    if (!this.probation.has(fingerprint)) return false;
    const { crashes = [] } = this.suspicions().get(fingerprint) ?? {};
    const [first] = this.sinceProbation(fingerprint, crashes);
    return first !== undefined && this.clock.now() - first.at >= ACQUITTAL_WAIT_MS;
  }

  /**
   * Returns the crashes that count against a request: on probation only those since its quarantine ended. The earlier ones
   * would renew the quarantine without a new crash.
   */
  private sinceProbation(fingerprint: string, crashes: readonly Crash[]): readonly Crash[] {
    const since = this.probation.get(fingerprint);
    return since === undefined ? crashes : crashes.filter(({ at }) => at >= since);
  }

  /** Returns the requests to put in quarantine now, those with the most crashes first. */
  requestsToQuarantine(): string[] {
    if (this.crashes.size < CRASHES_TO_BLAME) return [];
    const suspicions = [...this.suspicions()]
      .filter(([, { crashes }]) => crashes.length >= CRASHES_TO_BLAME)
      .filter(([name]) => !this.inForce.has(name) && !this.probation.has(name))
      .sort(([, first], [, second]) => second.crashes.length - first.crashes.length);
    const withEnoughEvidence = suspicions.filter(([name, suspicion]) =>
      this.hasEnoughEvidence(name, suspicion, suspicions),
    );
    const attributed = new Set<Crash>();
    const blamed: string[] = [];
    for (const [fingerprint, { crashes }] of withEnoughEvidence) {
      if (crashes.filter((crash) => !attributed.has(crash)).length < CRASHES_TO_BLAME) continue;
      blamed.push(fingerprint);
      if (isOnlySuspect(fingerprint, crashes, suspicions)) {
        for (const crash of crashes) attributed.add(crash);
      }
    }
    return blamed;
  }

  /** Attributes the crashes under a request to it, so that they don't count against others. */
  private attributeCrashes(fingerprint: string): void {
    for (const { fingerprints } of this.crashes.values()) {
      if (!fingerprints.has(fingerprint)) continue;
      for (const other of [...fingerprints]) {
        // The same request from other callers remains a suspect.
        const isSameRequest = withoutCaller(other) === withoutCaller(fingerprint);
        if (!isSameRequest && fingerprints.delete(other)) this.onChange();
      }
    }
  }

  private add({ instance, fingerprints }: CrashReport): void {
    if (this.crashes.has(instance)) return;
    this.forgetOld();
    const names = fingerprints.flatMap((each) => [each, withoutCaller(each)]);
    this.crashes.set(instance, { at: this.clock.now(), fingerprints: new Set(names) });
    this.onChange();
    for (const name of names) if (this.inForce.has(name)) this.attributeCrashes(name);
  }

  private acquit(fingerprint: string): void {
    for (const { fingerprints } of this.crashes.values()) {
      if (fingerprints.delete(fingerprint)) this.onChange();
    }
  }

  private onChange(): void {
    this.version += 1;
  }

  private forgetOld(): void {
    const since = this.clock.now() - CRASH_TTL_MS;
    for (const [instance, { at }] of this.crashes) {
      if (at >= since && this.crashes.size < MAX_CRASHES) return;
      this.crashes.delete(instance);
    }
  }

  private suspicions(): ReadonlyMap<string, Suspicion> {
    const { version } = this;
    if (this.suspicionsRead?.version !== version) {
      this.suspicionsRead = { version, all: this.readSuspicions() };
    }
    return this.suspicionsRead.all;
  }

  private readSuspicions(): Map<string, Suspicion> {
    const suspicions = new Map<string, Suspicion>();
    for (const crash of this.crashes.values()) {
      for (const fingerprint of crash.fingerprints) {
        const suspicion = suspicions.get(fingerprint);
        if (suspicion === undefined) suspicions.set(fingerprint, { crashes: [crash] });
        else suspicion.crashes.push(crash);
      }
    }
    return suspicions;
  }

  /** Whether there are enough crashes, and gates had time to report that the request succeeded. */
  private hasEnoughEvidence(
    fingerprint: string,
    { crashes }: Suspicion,
    all: readonly [string, Suspicion][],
  ): boolean {
    if (!hasCaller(fingerprint) && callersOf(fingerprint, crashes).size < 2) return false;
    const isOnlyOne = isOnlySuspect(fingerprint, crashes, all);
    const needed = isOnlyOne ? CRASHES_TO_BLAME : CRASHES_TO_BLAME_ALIKE;
    const last = crashes[needed - 1];
    return last !== undefined && this.clock.now() - last.at >= ACQUITTAL_WAIT_MS;
  }
}

/** Whether no other request was in flight in exactly the same crashes. */
function isOnlySuspect(
  fingerprint: string,
  crashes: readonly Crash[],
  all: readonly [string, Suspicion][],
): boolean {
  return all.every(([name, other]) => {
    if (withoutCaller(name) === withoutCaller(fingerprint)) return true;
    if (other.crashes.length !== crashes.length) return true;
    return crashes.some((crash, index) => other.crashes[index] !== crash);
  });
}

/** Returns the fingerprints, including the caller, with which a request was in flight in these crashes. */
function callersOf(request: string, crashes: readonly Crash[]): Set<string> {
  const callers = new Set<string>();
  for (const { fingerprints } of crashes) {
    for (const each of fingerprints) {
      if (hasCaller(each) && withoutCaller(each) === request) callers.add(each);
    }
  }
  return callers;
}
