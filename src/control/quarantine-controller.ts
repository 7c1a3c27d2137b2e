/**
 * Runs on the leader: quarantines requests that crash the targets that run them, and ends each quarantine when its term is over.
 * Quarantines are resources of the replicated store, so they survive restarts and reach processes with their first configuration.
 */
import { randomUUID } from 'node:crypto';
import type { Logger } from '../common/logger.js';
import type { QuarantineResource } from '../policy/resource-schema.js';
import type { CrashEvidence } from '../quarantine/crash-evidence.js';
import type { CommandLog } from './command-log.js';
import { CONTROL_ACTOR } from './commands.js';
import type { ResourceStore } from './resource-store.js';

/** Duration of the first quarantine of a request, in milliseconds. */
const FIRST_TERM_MS = 10 * 60_000;
/** Factor by which each further term is longer than the one before. */
const TERM_FACTOR = 4;
/** Maximum duration of one term, in milliseconds. */
const MAX_TERM_MS = 24 * 60 * 60_000;
/** Time after a quarantine during which a single further crash renews it, in milliseconds. */
const PROBATION_MS = 24 * 60 * 60_000;
/** Maximum number of requests in quarantine or on probation; bounds the size of the store. */
const MAX_QUARANTINES = 256;

export interface QuarantineControllerOptions {
  readonly store: ResourceStore;
  readonly log: CommandLog;
  readonly evidence: CrashEvidence;
  /** Milliseconds since the Unix epoch; terms continue across restarts. */
  readonly wallClock: () => number;
  readonly logger: Logger;
}

export class QuarantineController {
  /** Fingerprints with a proposal in flight. */
  private readonly pendingFingerprints = new Set<string>();
  private quarantines: readonly QuarantineResource[] = [];
  /** Revision of the store from which `quarantines` was read. */
  private loadedRevision = -1;

  constructor(private readonly options: QuarantineControllerOptions) {}

  /** Checks the crash evidence and the terms once. Proposes changes only on the leader. */
  check(): void {
    const { evidence, log } = this.options;
    this.refreshQuarantines();
    const { quarantines } = this;
    if (log.status().role !== 'leader') return;
    for (const quarantine of quarantines) {
      if (this.isExpired(quarantine)) this.endTerm(quarantine);
      else if (evidence.shouldRenew(quarantine.name)) this.renew(quarantine);
    }
    for (const fingerprint of evidence.requestsToQuarantine()) this.begin(fingerprint);
  }

  private refreshQuarantines(): void {
    const { store, evidence } = this.options;
    if (store.revision === this.loadedRevision) return;
    this.loadedRevision = store.revision;
    this.quarantines = store
      .list()
      .map(({ resource }) => resource)
      .filter((resource) => resource.kind === 'Quarantine');
    evidence.setQuarantines(
      this.quarantines.map(({ name, spec }) => ({ fingerprint: name, inForce: spec.inForce })),
    );
  }

  private begin(fingerprint: string): void {
    const { evidence, logger } = this.options;
    const { quarantines } = this;
    if (this.pendingFingerprints.has(fingerprint)) return;
    if (quarantines.some(({ name }) => name === fingerprint)) return;
    if (quarantines.length + this.pendingFingerprints.size >= MAX_QUARANTINES) {
      logger.warn('A request crashes targets, but the limit of quarantined requests is reached.', {
        fingerprint,
      });
      return;
    }
    const crashes = evidence.crashCount(fingerprint);
    logger.warn('Quarantined a request that crashes targets.', { fingerprint, crashes });
    void this.put(fingerprint, 1);
  }

  private renew({ name, spec }: QuarantineResource): void {
    if (this.pendingFingerprints.has(name)) return;
    const terms = spec.terms + 1;
    this.options.logger.warn('Quarantined a request again after another crash.', {
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
      actor: CONTROL_ACTOR,
      at: wallClock(),
      precondition: current?.version ?? 'absent',
    });
    this.pendingFingerprints.delete(name);
    if (outcome.type === 'refused') {
      this.options.logger.warn('Could not write a quarantine; retrying.', {
        fingerprint: name,
        cause: outcome.refusal.type,
      });
    }
  }
}

function quarantineOf(name: string, spec: QuarantineResource['spec']): QuarantineResource {
  return { kind: 'Quarantine', name, spec };
}
