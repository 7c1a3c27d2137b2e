/**
 * Table of the nodes and edges that send heartbeats to one control replica. It is soft state: every process sends heartbeats to
 * every replica, so the table needs no replication and survives the loss of any replica.
 */
import type { EndpointChange } from '../sync/sync-protocol.js';
import type { Heartbeat, HeartbeatReply } from '../sync/heartbeat.js';
import type { EndpointRecord, EndpointState } from '../call/endpoint.js';
import { EndpointList } from './endpoint-list.js';

/** Last heartbeat of a member. */
export interface Member extends Heartbeat {
  /** Time at which it arrived, in monotonic milliseconds of this replica. */
  readonly seenAt: number;
}

/** An incarnation with a lower number than the latest known one of its member. */
interface OlderIncarnation {
  readonly incarnation: number;
  readonly firstSeenAt: number;
}

/** Default lease in milliseconds: five heartbeats at the default interval. */
export const MEMBER_LEASE_MS = 10_000;
/** No member expires when more than this fraction is overdue: the network of this replica is then the likelier cause. */
const MASS_EXPIRY_FRACTION = 0.3;
/** Minimum number of members for {@link MASS_EXPIRY_FRACTION} to apply. */
const MIN_MEMBERS_FOR_MASS_EXPIRY = 10;
/** Minimum gap in milliseconds that distinguishes heartbeats of a running process from delayed ones that arrive together. */
const MIN_HEARTBEAT_GAP_MS = 300;

export class MemberTable {
  private readonly members = new Map<string, Member>();
  private readonly endpoints = new EndpointList();
  /** Last heartbeat of members whose lease has expired. */
  private readonly expired = new Map<string, Member>();
  /** By member id: an older incarnation that sent a heartbeat after the lease of a newer one ran out. */
  private readonly olderIncarnations = new Map<string, OlderIncarnation>();
  private leavingAddresses: ReadonlySet<string> = new Set();
  private readonly startedAt: number;

  /** @param leaseMs time without a heartbeat after which a member expires */
  constructor(
    now: number,
    private readonly leaseMs: number = MEMBER_LEASE_MS,
  ) {
    this.startedAt = now;
  }

  /** Version of the endpoint list of this replica. */
  get endpointVersion(): number {
    return this.endpoints.version;
  }

  /** Whether every running member has had time to send a heartbeat since the start of this replica. */
  isComplete(now: number): boolean {
    return now - this.startedAt >= this.leaseMs;
  }

  /**
   * Records a heartbeat and builds the reply.
   * @param revision current revision of the store
   * @param isCurrent whether this replica has a leader, so that it receives every change
   * @param controlOrigins origins of all control replicas
   */
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
   * Whether an older incarnation is confirmed to be running. A single late heartbeat of a crashed process must not restore its
   * endpoint, but a restarted process can have a lower incarnation if its clock was set back; it is accepted if another
   * heartbeat arrives after {@link MIN_HEARTBEAT_GAP_MS}.
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
   * Sets the addresses (with or without a port) that the platform reports as leaving. Because the list lags, it can only mark
   * endpoints as leaving; it never overrides a node that reports itself as leaving.
   */
  setLeavingAddresses(addresses: ReadonlySet<string>): void {
    this.leavingAddresses = addresses;
    for (const id of this.members.keys()) this.refreshEndpoint(id);
  }

  /** Removes members whose lease has expired, unless too many are overdue at once. */
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

  /** Milliseconds since a member's last heartbeat, or since the start of this replica if it has sent none. */
  sinceHeartbeatMs(id: string, now: number): number {
    return now - (this.members.get(id)?.seenAt ?? this.expired.get(id)?.seenAt ?? this.startedAt);
  }

  /** All members, ordered by id. */
  list(): Member[] {
    return [...this.members.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  endpointList(): EndpointRecord[] {
    return this.endpoints.list();
  }

  /** Endpoint changes after `version`; undefined when they are no longer all available. */
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
