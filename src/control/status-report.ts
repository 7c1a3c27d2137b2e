/**
 * Builds the report of the `status` command from the log, the store and the members of one replica. A change is in force everywhere
 * when the accepted and the in-force revision are equal.
 */
import type { LogStatus, StatusReport } from '../sync/status-report.js';
import type { Member } from './member-table.js';

/** Maximum number of lagging members listed; keeps the report short in large fleets. */
const MAX_LAGGING_SHOWN = 50;

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
