/**
 * What one control replica knows of the crashes of targets, and which requests it blames for them. Soft state: every sidecar
 * reports to every replica, so no replica needs another one's. Pure.
 *
 * A request is blamed if it was under way in several crashes and has not ended well anywhere since the first of them. Others
 * that were under way in the same crashes, and in no others, are as suspect: then more crashes are wanted. A crash that one
 * request is blamed for speaks against no other one. A request is blamed whoever sends it once crashes under it came by
 * different callers, and for one caller otherwise.
 *
 * Owns the crashes of the last hour; relies on the store's quarantines for what is in force. docs/design/quarantine.md
 * weighs the rule.
 */
import type { Clock } from '../common/clock.js';
import { hasCaller, withoutCaller } from './request-fingerprint.js';
import type { CrashNews, CrashReport, CrashSuspect, SuspectList } from './crash-report.js';

/**
 * Crashes under one request after which it is blamed for them: fewer blame a request that was there by chance, more cost
 * targets.
 */
export const CRASHES_TO_BLAME = 3;
/** The same where others were under way in just the same crashes. */
const CRASHES_TO_BLAME_ALIKE = 5;
/** Crashes under one request from which it is told to all gates, so that one that has seen it end well says so. */
const CRASHES_TO_SUSPECT = 2;
/**
 * Time for that, in milliseconds. Two pushes over the control links take some 10 ms; the rest is for processes that are
 * busy. Together with the agreement it stays well below the 3 s in which all processes are to know.
 */
const ACQUITTAL_WAIT_MS = 700;
/** Crashes are forgotten after this long, in milliseconds, and above this number: soft state is bounded. */
const CRASH_TTL_MS = 60 * 60_000;
const MAX_CRASHES = 512;
/** Suspects that are reported at once: bounds a sync. */
const MAX_SUSPECTS = 128;

interface Crash {
  readonly at: number;
  readonly fingerprints: Set<string>;
}

/** A quarantine as the store has it. */
export interface KnownQuarantine {
  readonly fingerprint: string;
  /** False once its time is over and the next crash renews it. */
  readonly inForce: boolean;
}

/** The crashes under one request. */
interface Suspicion {
  readonly crashes: Crash[];
}

export class CrashEvidence {
  /** By the incarnation that ended, oldest first. One without fingerprints is known and speaks against none. */
  private readonly crashes = new Map<string, Crash>();
  private version = 1;
  /** Of the version that they were read at: many followers ask for the same list. */
  private suspicionsRead:
    { readonly version: number; readonly all: Map<string, Suspicion> } | undefined;
  /** Requests in quarantine: they are not blamed again. */
  private inForce: ReadonlySet<string> = new Set();
  /** Requests whose quarantine has ended, and when that was seen: the first crash after it makes them suspect. */
  private probation: ReadonlyMap<string, number> = new Map();

  constructor(private readonly clock: Clock) {}

  /** Takes what a sidecar tells. @returns whether the list of suspects may have changed */
  onNews({ crashes, acquitted }: CrashNews): boolean {
    const before = this.version;
    for (const report of crashes) this.add(report);
    for (const fingerprint of acquitted) this.acquit(fingerprint);
    return this.version !== before;
  }

  /** Counts the changes of the list of suspects. */
  get suspectVersion(): number {
    return this.version;
  }

  /** Requests for which gates are asked whether they have seen them end well. */
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

  /** Number of crashes in which the request was under way, and for which no other one is blamed. */
  crashesUnder(fingerprint: string): number {
    return this.suspicions().get(fingerprint)?.crashes.length ?? 0;
  }

  /** Adopts the quarantines that there are now. What speaks against a request that was taken out of them is forgotten. */
  adopt(quarantines: readonly KnownQuarantine[]): void {
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

  /** Whether a request on probation was under way in a crash, and no gate has said that it ended well. */
  blamesOnProbation(fingerprint: string): boolean {
    if (!this.probation.has(fingerprint)) return false;
    const { crashes = [] } = this.suspicions().get(fingerprint) ?? {};
    const [first] = this.sinceProbation(fingerprint, crashes);
    return first !== undefined && this.clock.now() - first.at >= ACQUITTAL_WAIT_MS;
  }

  /**
   * The crashes under a request that count: on probation those since its quarantine ended. Those that led to it are kept
   * longer, and would put it in force again without a crash.
   */
  private sinceProbation(fingerprint: string, crashes: readonly Crash[]): readonly Crash[] {
    const since = this.probation.get(fingerprint);
    return since === undefined ? crashes : crashes.filter(({ at }) => at >= since);
  }

  /** Requests that are to be blamed now, the most suspect first. */
  blamed(): string[] {
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

  /** The request is known to be the cause of the crashes under it: they speak against no other one. */
  private attributeCrashes(fingerprint: string): void {
    for (const { fingerprints } of this.crashes.values()) {
      if (!fingerprints.has(fingerprint)) continue;
      for (const other of [...fingerprints]) {
        // The same request of other callers stays suspect.
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

  /** Whether there are crashes enough, and gates have had time to say that the request ended well. */
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

/** Whether no other request was under way in just the same crashes. */
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

/** Fingerprints with a caller under which a request was under way in these crashes. */
function callersOf(request: string, crashes: readonly Crash[]): Set<string> {
  const callers = new Set<string>();
  for (const { fingerprints } of crashes) {
    for (const each of fingerprints) {
      if (hasCaller(each) && withoutCaller(each) === request) callers.add(each);
    }
  }
  return callers;
}
