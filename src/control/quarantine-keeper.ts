/**
 * On the leader: puts requests in quarantine that crash the targets that run them, and ends each quarantine in time. They
 * are resources of the replicated store: restarted processes know them with their first configuration, and they outlast a
 * loss of power. Decides begin, renewal and end from the evidence (`quarantine/crash-evidence.ts`) and the time of day; owns only
 * which changes are being written.
 */
import { randomUUID } from 'node:crypto';
import type { Logger } from '../common/logger.js';
import type { QuarantineResource } from '../policy/resource-schema.js';
import type { CrashEvidence } from '../quarantine/crash-evidence.js';
import type { CommandLog } from './command-log.js';
import type { ResourceStore } from './resource-store.js';

/** Recorded as the author of changes that control makes itself. */
const ACTOR = 'shoredoor';
/** Time of the first quarantine of a request, in milliseconds; each further one is several times as long. */
const FIRST_TERM_MS = 10 * 60_000;
/** How many times as long as the one before each further quarantine is. */
const TERM_FACTOR = 4;
/** Longest time of one quarantine, in milliseconds. */
const MAX_TERM_MS = 24 * 60 * 60_000;
/** Time after a quarantine for which one more crash under the request renews it, in milliseconds. */
const PROBATION_MS = 24 * 60 * 60_000;
/** Requests in quarantine or on probation at once: each costs the store about 200 bytes. */
const MAX_QUARANTINES = 256;

/** What the keeper is made of. */
export interface QuarantineKeeperOptions {
  readonly store: ResourceStore;
  readonly log: CommandLog;
  readonly evidence: CrashEvidence;
  /** Milliseconds since 1970: terms outlast restarts. */
  readonly wallClock: () => number;
  readonly logger: Logger;
}

export class QuarantineKeeper {
  /** Fingerprints whose change is being written. */
  private readonly pendingFingerprints = new Set<string>();
  private quarantines: readonly QuarantineResource[] = [];
  /** Of the store, when its quarantines were read. */
  private loadedRevision = -1;

  constructor(private readonly options: QuarantineKeeperOptions) {}

  /** Looks at the evidence and the terms once. A replica that does not lead declares nothing. */
  check(): void {
    const { evidence, log } = this.options;
    this.refreshQuarantines();
    const { quarantines } = this;
    if (log.status().role !== 'leader') return;
    for (const quarantine of quarantines) {
      if (this.isExpired(quarantine)) this.endTerm(quarantine);
      else if (evidence.blamesOnProbation(quarantine.name)) this.renew(quarantine);
    }
    for (const fingerprint of evidence.blamed()) this.begin(fingerprint);
  }

  private refreshQuarantines(): void {
    const { store, evidence } = this.options;
    if (store.revision === this.loadedRevision) return;
    this.loadedRevision = store.revision;
    this.quarantines = store
      .list()
      .map(({ resource }) => resource)
      .filter((resource) => resource.kind === 'Quarantine');
    evidence.adopt(
      this.quarantines.map(({ name, spec }) => ({ fingerprint: name, inForce: spec.inForce })),
    );
  }

  private begin(fingerprint: string): void {
    const { evidence, logger } = this.options;
    const { quarantines } = this;
    if (this.pendingFingerprints.has(fingerprint)) return;
    if (quarantines.some(({ name }) => name === fingerprint)) return;
    if (quarantines.length + this.pendingFingerprints.size >= MAX_QUARANTINES) {
      logger.warn('A request crashes targets, and no more can be quarantined.', { fingerprint });
      return;
    }
    const crashes = evidence.crashesUnder(fingerprint);
    logger.warn('A request is quarantined: targets crash under it.', { fingerprint, crashes });
    void this.put(fingerprint, 1);
  }

  private renew({ name, spec }: QuarantineResource): void {
    if (this.pendingFingerprints.has(name)) return;
    const terms = spec.terms + 1;
    this.options.logger.warn('A request is quarantined again: a target has crashed under it.', {
      fingerprint: name,
      terms,
    });
    void this.put(name, terms);
  }

  private isExpired({ spec }: QuarantineResource): boolean {
    return this.options.wallClock() >= spec.until;
  }

  private endTerm({ name, spec }: QuarantineResource): void {
    const { wallClock, logger } = this.options;
    if (this.pendingFingerprints.has(name)) return;
    logger.info('The quarantine of a request has ended.', { fingerprint: name, ...spec });
    if (spec.inForce) {
      const until = wallClock() + PROBATION_MS;
      void this.declare(quarantineOf(name, { ...spec, inForce: false, until }));
    } else void this.remove(name);
  }

  private async put(fingerprint: string, terms: number): Promise<void> {
    const termMs = Math.min(MAX_TERM_MS, FIRST_TERM_MS * TERM_FACTOR ** (terms - 1));
    const until = this.options.wallClock() + termMs;
    await this.declare(quarantineOf(fingerprint, { inForce: true, until, terms }));
  }

  private async declare(resource: QuarantineResource): Promise<void> {
    await this.propose(resource.name, { type: 'put', resource });
  }

  private async remove(name: string): Promise<void> {
    await this.propose(name, { type: 'delete', target: { kind: 'Quarantine', name } });
  }

  private async propose(
    name: string,
    change:
      | { readonly type: 'put'; readonly resource: QuarantineResource }
      | { readonly type: 'delete'; readonly target: { kind: 'Quarantine'; name: string } },
  ): Promise<void> {
    const { log, store, wallClock } = this.options;
    this.pendingFingerprints.add(name);
    const current = store.get({ kind: 'Quarantine', name });
    const outcome = await log.propose({
      ...change,
      changeId: randomUUID(),
      actor: ACTOR,
      at: wallClock(),
      precondition: current?.version ?? 'absent',
    });
    this.pendingFingerprints.delete(name);
    if (outcome.type === 'refused') {
      this.options.logger.warn('A quarantine was not written; it is tried again.', {
        fingerprint: name,
        cause: outcome.refusal.type,
      });
    }
  }
}

function quarantineOf(name: string, spec: QuarantineResource['spec']): QuarantineResource {
  return { kind: 'Quarantine', name, spec };
}
