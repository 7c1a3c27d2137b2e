/**
 * The nodes and edges that send heartbeats to one control replica. Soft state: it is learned from
 * heartbeats, which every process sends to every replica, so it needs no agreement and survives the
 * loss of any replica. Owns the members' leases and decides when one is gone, superseded or leaving; `endpoint-list.ts` keeps
 * the list that followers get.
 */
import type { EndpointChange } from '../sync/sync-protocol.js';
import type { Heartbeat, HeartbeatReply } from '../sync/heartbeat.js';
import type { EndpointRecord, EndpointState } from '../call/endpoint.js';
import { EndpointList } from './endpoint-list.js';

/** A member as seen by this replica. */
export interface Member extends Heartbeat {
  /** Monotonic milliseconds of this replica. */
  readonly seenAt: number;
}

/** An incarnation that counts as an earlier one of its member. */
interface OlderIncarnation {
  readonly incarnation: number;
  readonly firstSeenAt: number;
}

/** Default of the lease, in milliseconds: five heartbeats at their default interval. */
export const MEMBER_LEASE_MS = 10_000;
/** When more than this fraction falls silent together, the replica suspects its own network. */
const MASS_EXPIRY_FRACTION = 0.3;
/** Members below which any number that falls silent together is taken to be gone. */
const MIN_MEMBERS_FOR_MASS_EXPIRY = 10;
/** Heartbeats that were delayed arrive together; those of a process that runs come this far apart, in milliseconds. */
const MIN_HEARTBEAT_GAP_MS = 300;

export class MemberTable {
  private readonly members = new Map<string, Member>();
  private readonly endpoints = new EndpointList();
  /** Members that are gone, as they were last heard of. */
  private readonly expired = new Map<string, Member>();
  /** Earlier incarnations that were heard while or after a newer one was known, and when first. */
  private readonly olderIncarnations = new Map<string, OlderIncarnation>();
  private leavingAddresses: ReadonlySet<string> = new Set();
  private readonly startedAt: number;

  /** @param leaseMs time without a heartbeat after which a member's lease has run out */
  constructor(
    now: number,
    private readonly leaseMs: number = MEMBER_LEASE_MS,
  ) {
    this.startedAt = now;
  }

  /** Version of the endpoint list; counts its changes at this replica. */
  get endpointVersion(): number {
    return this.endpoints.version;
  }

  /**
   * Whether the list can be trusted: a replica that has just started has not heard from everyone.
   */
  isComplete(now: number): boolean {
    return now - this.startedAt >= this.leaseMs;
  }

  onHeartbeat(
    heartbeat: Heartbeat,
    now: number,
    revision: number,
    isCurrent: boolean,
    controlOrigins: readonly string[] = [],
  ): HeartbeatReply {
    const known = this.members.get(heartbeat.id) ?? this.expired.get(heartbeat.id);
    if (known !== undefined && heartbeat.incarnation < known.incarnation) {
      if (now - known.seenAt < this.leaseMs) return { type: 'superseded' };
      if (!this.isConfirmedRunning(heartbeat, now))
        return { type: 'ok', revision, isCurrent, controlOrigins };
    }
    this.olderIncarnations.delete(heartbeat.id);
    this.members.set(heartbeat.id, {
      ...heartbeat,
      crashNews: undefined,
      quota: undefined,
      seenAt: now,
    });
    this.refreshEndpoint(heartbeat.id);
    return { type: 'ok', revision, isCurrent, controlOrigins };
  }

  /**
   * Whether an incarnation runs that counts as an earlier one. Heartbeats of one that has crashed may arrive late, and
   * would send calls to it; but clocks step, and a restarted process may count as earlier. It is taken if it is heard
   * again some time later.
   */
  private isConfirmedRunning({ id, incarnation }: Heartbeat, now: number): boolean {
    const older = this.olderIncarnations.get(id);
    if (older?.incarnation === incarnation) {
      return now - older.firstSeenAt >= MIN_HEARTBEAT_GAP_MS;
    }
    this.olderIncarnations.set(id, { incarnation, firstSeenAt: now });
    return false;
  }

  /**
   * Adopts the platform's list of leaving machines: addresses with or without a port. It lags, so it only ever takes
   * endpoints out: a node that says itself that it is leaving stays out.
   */
  setLeavingAddresses(addresses: ReadonlySet<string>): void {
    this.leavingAddresses = addresses;
    for (const id of this.members.keys()) this.refreshEndpoint(id);
  }

  /** Drops members whose lease has run out, unless too many fell silent together. */
  expire(now: number): void {
    const overdue = [...this.members.values()].filter(
      (member) => now - member.seenAt >= this.leaseMs,
    );
    const limit = this.members.size * MASS_EXPIRY_FRACTION;
    if (this.members.size >= MIN_MEMBERS_FOR_MASS_EXPIRY && overdue.length > limit) return;
    for (const member of overdue) {
      this.members.delete(member.id);
      this.expired.set(member.id, member);
      this.endpoints.remove(member.id);
    }
  }

  /** Milliseconds since a member was last heard of, counted from this replica's start at least. */
  sinceHeartbeatMs(id: string, now: number): number {
    return now - (this.members.get(id)?.seenAt ?? this.expired.get(id)?.seenAt ?? this.startedAt);
  }

  /** Every member, ordered by id. */
  list(): Member[] {
    return [...this.members.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /** Every endpoint. */
  endpointList(): EndpointRecord[] {
    return this.endpoints.list();
  }

  /** The changes after `version`; undefined when they are no longer all kept. */
  endpointChangesSince(version: number): EndpointChange[] | undefined {
    return this.endpoints.changesSince(version);
  }

  private refreshEndpoint(id: string): void {
    const member = this.members.get(id);
    if (member?.origin === undefined || member.service === undefined) return;
    this.endpoints.set({
      id,
      incarnation: member.incarnation,
      service: member.service,
      zone: member.zone,
      origin: member.origin,
      state: this.combinedState(member, member.origin),
    });
  }

  private combinedState(member: Member, origin: string): EndpointState {
    if (member.state === 'leaving') return 'leaving';
    const { host, hostname } = new URL(origin);
    const isListed = this.leavingAddresses.has(host) || this.leavingAddresses.has(hostname);
    return isListed ? 'leaving' : 'ready';
  }
}
