/**
 * On the leader: declares the views of the nodes that keep claims, as membership changes. `claim-view-planner.ts` decides which
 * view is next; this module proposes it as a resource of the store. Owns the services whose view is being written.
 */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../common/clock.js';
import type { ClaimView } from '../dedup/claim-view.js';
import { nextClaimView, type ClaimCandidate } from './claim-view-planner.js';
import type { CommandLog } from './command-log.js';
import type { Member, MemberTable } from './member-table.js';
import type { ResourceStore } from './resource-store.js';

/** Recorded as the author of changes that control makes itself. */
const ACTOR = 'shoredoor';

export class ClaimViewKeeper {
  /** Services whose next view is being written. */
  private readonly pendingServices = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly store: ResourceStore,
    private readonly members: MemberTable,
    private readonly log: CommandLog,
    private readonly wallClock: () => number,
  ) {}

  /** Looks at every service once. Does nothing on a replica that does not lead. */
  check(): void {
    if (this.log.status().role !== 'leader') return;
    for (const [service, candidates] of this.candidatesByService()) {
      if (this.pendingServices.has(service)) continue;
      const next = nextClaimView({
        service,
        current: this.currentView(service),
        candidates,
        silentForMs: (id) => this.members.sinceHeartbeatMs(id, this.clock.now()),
      });
      if (next !== undefined) void this.declare(next);
    }
  }

  private async declare(view: ClaimView): Promise<void> {
    this.pendingServices.add(view.name);
    const current = this.store.get({ kind: 'ClaimView', name: view.name });
    await this.log.propose({
      type: 'put',
      resource: view,
      changeId: randomUUID(),
      actor: ACTOR,
      at: this.wallClock(),
      precondition: current?.version ?? 'absent',
    });
    // A refusal leaves the view as it was: the next check, 500 ms later, proposes it again, here or at another leader.
    this.pendingServices.delete(view.name);
  }

  private currentView(service: string): ClaimView | undefined {
    const resource = this.store.get({ kind: 'ClaimView', name: service })?.resource;
    return resource?.kind === 'ClaimView' ? resource : undefined;
  }

  private candidatesByService(): Map<string, ClaimCandidate[]> {
    const byService = new Map<string, ClaimCandidate[]>();
    for (const member of this.members.list()) {
      if (member.service === undefined) continue;
      const candidates = byService.get(member.service) ?? [];
      candidates.push(candidateOf(member));
      byService.set(member.service, candidates);
    }
    return byService;
  }
}

function candidateOf(member: Member): ClaimCandidate {
  const { id, zone, incarnation, claimEpoch, state } = member;
  return { id, zone, incarnation, settledEpoch: claimEpoch, isLeaving: state === 'leaving' };
}
