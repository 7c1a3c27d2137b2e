/** {@link CommandLog} of a control replica on top of the Raft log. Applies timeouts and maps outcomes of the log to refusals. */
import type { Clock } from '../common/clock.js';
import { encodeMessage } from '../common/message-codec.js';
import type { ProposalOutcome, RaftStatus } from '../consensus/raft-options.js';
import { allReplicas } from '../consensus/peer-progress.js';
import type { ReplicaHost } from '../consensus/replica-host.js';
import type { LeaderTerms } from '../quota/group-ceilings.js';
import type { LogStatus } from '../sync/status-report.js';
import type { CommandLog, LogRefusal, ProposeResult } from './command-log.js';
import type {
  Command,
  DeclareCommand,
  DeclareResult,
  QuotaCeilingsCommand,
  QuotaCeilingsResult,
  ResourceCommand,
  ResourceResult,
} from './commands.js';

/** Timeout of a proposal in milliseconds; allows for several elections. */
const PROPOSE_TIMEOUT_MS = 5_000;
/** Timeout of a read barrier in milliseconds; shorter, because reads are safe to retry at once. */
const READ_TIMEOUT_MS = 1_500;

export class ReplicatedCommandLog implements CommandLog {
  constructor(
    private readonly clock: Clock,
    private readonly host: ReplicaHost,
  ) {}

  propose(command: QuotaCeilingsCommand): Promise<ProposeResult<QuotaCeilingsResult>>;
  propose(command: ResourceCommand): Promise<ProposeResult<ResourceResult>>;
  propose(command: DeclareCommand): Promise<ProposeResult<DeclareResult>>;
  propose<Result>(command: Command): Promise<ProposeResult<Result>> {
    return new Promise((resolve) => {
      const timeout = this.clock.schedule(PROPOSE_TIMEOUT_MS, () => {
        resolve({ type: 'refused', refusal: { type: 'no-quorum' } });
      });
      this.host.propose(encodeMessage(command), (outcome) => {
        timeout.cancel();
        resolve(this.resultOf(outcome));
      });
    });
  }

  readBarrier(): Promise<LogRefusal | undefined> {
    return new Promise((resolve) => {
      const timeout = this.clock.schedule(READ_TIMEOUT_MS, () => resolve({ type: 'no-quorum' }));
      this.host.readBarrier((confirmed) => {
        timeout.cancel();
        resolve(confirmed ? undefined : this.readRefusal());
      });
    });
  }

  status(): LogStatus {
    const status = this.host.raftStatus;
    return {
      role: roleOf(status, this.host.identity),
      phase: this.host.phase,
      term: status?.term ?? 0,
      leaderId: status?.leader?.name,
      leaderOrigin: status?.leader?.origin,
      origins: status === undefined ? [] : allReplicas(status.replicas).map(({ origin }) => origin),
      commitIndex: status?.commitIndex ?? 0,
      lastIndex: status?.lastIndex ?? 0,
      voters: status?.replicas.voters.map((voter) => voter.name) ?? [],
      learners: status?.replicas.learners.map((learner) => learner.name) ?? [],
      replicasSettled: status?.replicasSettled ?? false,
      problem:
        this.host.problem ?? (status?.leader === undefined ? 'no leader is known' : undefined),
      confirmedAgeMs: this.ageOf(status?.confirmedAt),
    };
  }

  leaderTerms(): LeaderTerms | undefined {
    const status = this.host.raftStatus;
    if (status?.confirmedAt === undefined || status.previousTerm === undefined) return undefined;
    return { term: status.term, previousTerm: status.previousTerm };
  }

  bearableLosses(): number | undefined {
    return this.host.raftStatus?.bearableLosses;
  }

  removeReplica(name: string): boolean {
    return this.host.removeReplica(name);
  }

  async close(): Promise<void> {
    this.host.stop();
  }

  private resultOf<Result>(outcome: ProposalOutcome): ProposeResult<Result> {
    switch (outcome.type) {
      case 'applied':
        return { type: 'applied', result: outcome.result as Result };
      case 'not-leader': {
        const leaderOrigin = outcome.leader?.origin;
        return { type: 'refused', refusal: { type: 'not-leader', leaderOrigin } };
      }
      case 'unknown':
        return { type: 'refused', refusal: { type: 'no-quorum' } };
      case 'failed-storage':
        return { type: 'refused', refusal: { type: 'storage-failed' } };
    }
  }

  private ageOf(confirmedAt: number | undefined): number | undefined {
    return confirmedAt === undefined ? undefined : this.clock.now() - confirmedAt;
  }

  private readRefusal(): LogRefusal {
    if (this.host.phase === 'failed') return { type: 'storage-failed' };
    return { type: 'no-quorum' };
  }
}

function roleOf(status: RaftStatus | undefined, identity: string | undefined): LogStatus['role'] {
  if (status === undefined) return 'learner';
  if (status.role === 'leader') return 'leader';
  if (status.role !== 'follower') return 'candidate';
  const isVoter = status.replicas.voters.some((voter) => voter.identity === identity);
  return isVoter ? 'follower' : 'learner';
}
