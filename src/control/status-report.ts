/**
 * Builds what `status` shows from what one replica knows: its log, its store and the members that send it heartbeats. Pure;
 * owns no state. A change is in force everywhere once the accepted and the in-force revision are equal.
 */
import type { LogStatus, StatusReport } from '../sync/status-report.js';
import type { Member } from './member-table.js';

/** Most lagging members that a report names, so that it stays short on a large fleet. */
const MAX_LAGGING_SHOWN = 50;

/** Builds the report of one replica. */
export function buildStatusReport(
  replicaId: string,
  replication: LogStatus,
  revision: number,
  members: readonly Member[],
): StatusReport {
  const counts = new Map<number, number>();
  for (const member of members) {
    counts.set(member.appliedRevision, (counts.get(member.appliedRevision) ?? 0) + 1);
  }
  const holders = [...counts]
    .map(([held, count]) => ({ revision: held, count }))
    .sort((first, second) => second.revision - first.revision);
  const lagging = members
    .filter((member) => member.appliedRevision < revision)
    .map(({ id, zone, appliedRevision }) => ({ id, zone, appliedRevision }));
  return {
    replicaId,
    replication,
    acceptedRevision: revision,
    distributedRevision: revision,
    inForceRevision: Math.min(revision, holders.at(-1)?.revision ?? revision),
    memberCount: members.length,
    holders,
    lagging: lagging.slice(0, MAX_LAGGING_SHOWN),
  };
}
