/**
 * Runs on the leader: proposes a new `ClaimView` resource for a service when the membership of the nodes that hold its claims
 * changes. {@link nextClaimView} computes the view.
 */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../common/clock.js';
import type { ClaimView } from '../dedup/claim-view.js';
import { nextClaimView, type ClaimCandidate } from './claim-view-planner.js';
import type { CommandLog } from './command-log.js';
import { CONTROL_ACTOR } from './commands.js';
import type { Member, MemberTable } from './member-table.js';
import type { ResourceStore } from './resource-store.js';

export class ClaimViewController {
  /** Services with a proposal in flight. */
  private readonly pendingServices = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly store: ResourceStore,
    private readonly members: MemberTable,
    private readonly log: CommandLog,
    private readonly wallClock: () => number,
  ) {}

  /** Checks every service once. Does nothing unless this replica is the leader. */
  check(): void {
    if (this.log.status().role !== 'leader') return;
    for (const [service, candidates] of this.candidatesByService()) {
      if (this.pendingServices.has(service)) continue;
      const next = nextClaimView({
        service,
        current: this.currentView(service),
        candidates,
        sinceHeartbeatMs: (id) => this.members.sinceHeartbeatMs(id, this.clock.now()),
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
      actor: CONTROL_ACTOR,
      at: this.wallClock(),
      precondition: current?.version ?? 'absent',
    });
    // A refused proposal leaves the view unchanged; the next check retries, here or on a new leader.
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
