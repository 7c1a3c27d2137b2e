/**
 * Computes the next view of the nodes that hold a service's claims. A new view is declared only after the members have
 * taken over the current one, so a claim is always in the current or the previous view.
 */
import type { ClaimMember, ClaimView } from '../dedup/claim-view.js';

/** A node of the service, as recorded in the member table. */
export interface ClaimCandidate extends ClaimMember {
  readonly isLeaving: boolean;
  /** Latest epoch whose claims the node has taken over completely. */
  readonly settledEpoch: number;
}

/** Input of {@link nextClaimView}. */
export interface ClaimViewInput {
  readonly service: string;
  readonly current: ClaimView | undefined;
  readonly candidates: readonly ClaimCandidate[];
  /** Milliseconds since the node's last heartbeat, or since the start of this replica if it has sent none. */
  readonly sinceHeartbeatMs: (nodeId: string) => number;
}

/** Time without heartbeats after which a node is removed, in milliseconds; longer than a restart takes. */
export const REMOVE_AFTER_MS = 30_000;
/** The same when a majority sends no heartbeats, in milliseconds: control itself is then likely partitioned. */
const MAJORITY_REMOVE_AFTER_MS = 10 * 60_000;

/** Returns the next view; undefined when the current one remains valid or is not yet taken over. */
export function nextClaimView(input: ClaimViewInput): ClaimView | undefined {
  const { service, current, candidates } = input;
  const usable = candidates.filter((candidate) => !candidate.isLeaving);
  if (current === undefined) {
    return usable.length === 0 ? undefined : viewOf(service, 1, usable.map(toMember), []);
  }
  if (!isTakenOver(current, candidates)) return undefined;
  const members = remainingMembers(input, current.spec.members);
  const added = usable.filter(({ id }) => !members.some((member) => member.id === id));
  const isUnchanged = members.length === current.spec.members.length && added.length === 0;
  const next = [...members, ...added.map(toMember)];
  if (isUnchanged || next.length === 0) return undefined;
  return viewOf(service, current.spec.epoch + 1, next, current.spec.members);
}

/** Members that have sent heartbeats recently enough to stay in the view. */
function remainingMembers(input: ClaimViewInput, members: readonly ClaimMember[]): ClaimMember[] {
  const silentFor = (afterMs: number): ClaimMember[] =>
    members.filter(({ id }) => input.sinceHeartbeatMs(id) >= afterMs);
  const isMajority = silentFor(REMOVE_AFTER_MS).length > members.length / 2;
  const gone = silentFor(isMajority ? MAJORITY_REMOVE_AFTER_MS : REMOVE_AFTER_MS);
  return members.filter((member) => !gone.includes(member));
}

function viewOf(
  name: string,
  epoch: number,
  members: readonly ClaimMember[],
  previousMembers: readonly ClaimMember[],
): ClaimView {
  const sorted = [...members].sort((a, b) => (a.id < b.id ? -1 : 1));
  const spec = { epoch, members: sorted, previousMembers: [...previousMembers] };
  return { kind: 'ClaimView', name, spec };
}

function toMember({ id, zone, incarnation }: ClaimMember): ClaimMember {
  return { id, zone, incarnation };
}

/** Whether every member that sends heartbeats has taken over the view. */
function isTakenOver(view: ClaimView, candidates: readonly ClaimCandidate[]): boolean {
  const { epoch, members } = view.spec;
  const heard = candidates.filter(({ id }) => members.some((member) => member.id === id));
  return heard.length > 0 && heard.every((candidate) => candidate.settledEpoch >= epoch);
}
