/**
 * When control declares a new view of the nodes that keep a service's claims. Views follow one
 * another only after the last was taken over, so a claim is never more than one view away. Pure.
 */
import type { ClaimMember, ClaimView } from '../dedup/claim-view.js';

/** A node of the service as membership sees it. */
export interface ClaimCandidate extends ClaimMember {
  readonly isLeaving: boolean;
  /** Epoch that the node has taken over in full. */
  readonly settledEpoch: number;
}

/** What a decision depends on. */
export interface ClaimViewInput {
  readonly service: string;
  readonly current: ClaimView | undefined;
  readonly candidates: readonly ClaimCandidate[];
  /** Milliseconds since the node was last heard of; from the start of this replica at least. */
  readonly silentForMs: (nodeId: string) => number;
}

/** A restarted node is back within this time, in milliseconds; then its place is kept. */
export const REMOVE_AFTER_MS = 30_000;
/** The same where a majority is silent, in milliseconds: more likely control is cut off than all of them gone. */
const MAJORITY_REMOVE_AFTER_MS = 10 * 60_000;

/** The next view; undefined when the current one stands. */
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

/** Where a majority fell silent, control itself may be cut off: it waits longer. */
function remainingMembers(input: ClaimViewInput, members: readonly ClaimMember[]): ClaimMember[] {
  const silentFor = (afterMs: number): ClaimMember[] =>
    members.filter(({ id }) => input.silentForMs(id) >= afterMs);
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

/** Whether every member that can be heard has taken the view over. */
function isTakenOver(view: ClaimView, candidates: readonly ClaimCandidate[]): boolean {
  const { epoch, members } = view.spec;
  const heard = candidates.filter(({ id }) => members.some((member) => member.id === id));
  return heard.length > 0 && heard.every((candidate) => candidate.settledEpoch >= epoch);
}
