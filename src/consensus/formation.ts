/**
 * Rules by which replicas agree on the initial replica set: single-decree Paxos (Lamport, "Paxos Made Simple", 2001).
 * Pure functions over plain data: {@link ReplicaBootstrap} adds messages, timers and writes to disk.
 */
import type { Replica, ReplicaSet } from '../storage/persisted-state.js';

/** Number of a proposal. Ordered by round, then by proposer, so that no two proposers share one. */
export interface Ballot {
  readonly round: number;
  /** Identity of the proposer. A replica without its earlier disk has another, and so repeats no ballot. */
  readonly proposer: string;
}

/** Number of acceptors that have to agree: more than half of them, or every one. */
export type Quorum = 'majority' | 'all';

/** A replica set that was accepted, with its ballot. */
export interface AcceptedSet {
  readonly ballot: Ballot;
  readonly replicas: ReplicaSet;
}

/** What an acceptor has on disk. It is synced before any answer that depends on it. */
export interface AcceptorRecord {
  /** Origins of all acceptors, sorted, as of the first start. */
  readonly acceptors: readonly string[];
  readonly quorum: Quorum;
  /** Ballots below this one are refused. */
  readonly promised: Ballot;
  /** The set that was accepted last. */
  readonly accepted?: AcceptedSet | undefined;
}

/** A proposal under way. It is chosen, for good, once a quorum has accepted it. */
export interface Proposal {
  readonly phase: 'prepare' | 'accept' | 'chosen';
  readonly ballot: Ballot;
  /** The proposer's own choice until the accept phase, then the set that is to be accepted. */
  readonly replicas: ReplicaSet;
  /** Origins of the acceptors that have agreed in the current phase. */
  readonly agreed: readonly string[];
  /** The set with the highest ballot that an acceptor has reported. */
  readonly reported: AcceptedSet | undefined;
}

/** Below every ballot that is proposed. */
export const LOWEST_BALLOT: Ballot = { round: 0, proposer: '' };

/** Returns the record of an acceptor that has neither promised nor accepted anything. */
export function newAcceptorRecord(origins: readonly string[], quorum: Quorum): AcceptorRecord {
  return { acceptors: [...new Set(origins)].sort(), quorum, promised: LOWEST_BALLOT };
}

/** Returns the record of a replica that promised, as earlier versions did, to form a set that all replicas promise. */
export function recordOfPromise(replicas: readonly Replica[], quorum: Quorum): AcceptorRecord {
  const origins = replicas.map(({ origin }) => origin);
  const accepted: AcceptedSet = { ballot: LOWEST_BALLOT, replicas: replicaSetOf(replicas) };
  return { ...newAcceptorRecord(origins, quorum), accepted };
}

/** Returns the set of the given replicas, each in its role. */
export function replicaSetOf(replicas: readonly Replica[]): ReplicaSet {
  return {
    voters: replicas.filter((replica) => replica.role === 'voter'),
    learners: replicas.filter((replica) => replica.role === 'learner'),
  };
}

/** Returns a negative number if the first ballot is lower, a positive one if it is higher, 0 if they are the same. */
export function compareBallots(first: Ballot, second: Ballot): number {
  if (first.round !== second.round) return first.round - second.round;
  if (first.proposer === second.proposer) return 0;
  return first.proposer < second.proposer ? -1 : 1;
}

/** Whether two acceptors count the same quorums. */
export function hasSameAcceptors(first: readonly string[], second: readonly string[]): boolean {
  return first.length === second.length && first.every((origin, index) => origin === second[index]);
}

/** Whether so many acceptors are a quorum. */
export function isQuorum(count: number, { acceptors, quorum }: AcceptorRecord): boolean {
  return quorum === 'all' ? count === acceptors.length : count > acceptors.length / 2;
}

/** Returns the acceptor's record after a prepare request; undefined if it has promised a higher ballot. */
export function prepare(record: AcceptorRecord, ballot: Ballot): AcceptorRecord | undefined {
  const order = compareBallots(ballot, record.promised);
  if (order < 0) return undefined;
  return order === 0 ? record : { ...record, promised: ballot };
}

/** Returns the acceptor's record after an accept request; undefined if it has promised a higher ballot. */
export function accept(record: AcceptorRecord, accepted: AcceptedSet): AcceptorRecord | undefined {
  const { ballot } = accepted;
  if (compareBallots(ballot, record.promised) < 0) return undefined;
  const before = record.accepted?.ballot;
  if (before !== undefined && compareBallots(ballot, before) === 0) return record;
  return { ...record, promised: ballot, accepted };
}

/**
 * Starts a proposal.
 * @param lowestRound the proposal's round is above it, and above that of the record
 */
export function newProposal(
  record: AcceptorRecord,
  proposer: string,
  replicas: ReplicaSet,
  lowestRound = 0,
): Proposal {
  const ballot = { round: Math.max(record.promised.round, lowestRound) + 1, proposer };
  return { phase: 'prepare', ballot, replicas, agreed: [], reported: undefined };
}

/** Counts a promise. With a quorum the accept phase begins, with the reported set of the highest ballot, if any. */
export function onPromise(
  proposal: Proposal,
  record: AcceptorRecord,
  from: string,
  accepted: AcceptedSet | undefined,
): Proposal {
  if (proposal.phase !== 'prepare') return proposal;
  const agreed = withAcceptor(proposal.agreed, from, record);
  const reported = higherOf(proposal.reported, accepted);
  if (!isQuorum(agreed.length, record)) return { ...proposal, agreed, reported };
  const replicas = reported?.replicas ?? proposal.replicas;
  return { ...proposal, phase: 'accept', replicas, agreed: [], reported };
}

/** Counts an acceptance. With a quorum the proposal's set is chosen. */
export function onAccepted(proposal: Proposal, record: AcceptorRecord, from: string): Proposal {
  if (proposal.phase !== 'accept') return proposal;
  const agreed = withAcceptor(proposal.agreed, from, record);
  return { ...proposal, phase: isQuorum(agreed.length, record) ? 'chosen' : 'accept', agreed };
}

function withAcceptor(
  agreed: readonly string[],
  origin: string,
  { acceptors }: AcceptorRecord,
): readonly string[] {
  if (agreed.includes(origin) || !acceptors.includes(origin)) return agreed;
  return [...agreed, origin].sort();
}

function higherOf(
  first: AcceptedSet | undefined,
  second: AcceptedSet | undefined,
): AcceptedSet | undefined {
  if (first === undefined || second === undefined) return first ?? second;
  return compareBallots(second.ballot, first.ballot) > 0 ? second : first;
}
