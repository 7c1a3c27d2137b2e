/**
 * Claims a key at a majority of its replicas before the call runs, normally in one round trip. The call is refused if
 * another call holds the key, or if no majority grants it in time.
 */
import type { Clock } from '../common/clock.js';
import type { ClaimDecision, ClaimHandle, KeyClaims } from './claim.js';
import type { ClaimMessage, ClaimReply, ClaimTransport, GrantedReply } from './claim-messages.js';
import type { ClaimReplica } from './claim-replica.js';
import { claimQuorum, replicasOf, type ClaimMember } from './claim-view.js';

/** Timeout of a round of requests to the replicas, in milliseconds. */
const ROUND_MS = 150;
/** Delay before the next round, in milliseconds, for example during a change of the view. */
const PAUSE_MS = 50;
/** Time after which a claim without a majority is refused as unknown, in milliseconds. */
const GIVE_UP_MS = 600;

const UNKNOWN: ClaimDecision = {
  type: 'unknown',
  detail: 'It can not be known now whether a request with this key ran before.',
};

export interface QuorumClaimsOptions {
  readonly clock: Clock;
  readonly selfId: string;
  readonly incarnation: number;
  readonly replica: ClaimReplica;
  readonly transport: ClaimTransport;
}

export class QuorumClaims implements KeyClaims {
  private sequence = 0;

  constructor(private readonly options: QuorumClaimsOptions) {}

  claim(key: string, decide: (decision: ClaimDecision) => void): ClaimHandle {
    this.sequence += 1;
    const { selfId, incarnation } = this.options;
    const callId = `${selfId}/${incarnation}/${this.sequence}`;
    const claim = new PendingClaim(this.options, key, callId, decide);
    claim.begin();
    return claim;
  }
}

class PendingClaim implements ClaimHandle {
  private readonly startedAt: number;
  private round = 0;
  private replicas: readonly ClaimMember[] = [];
  private replies = new Map<string, ClaimReply | undefined>();
  private decided = false;
  private released = false;

  constructor(
    private readonly options: QuorumClaimsOptions,
    private readonly key: string,
    private readonly callId: string,
    private readonly decide: (decision: ClaimDecision) => void,
  ) {
    this.startedAt = options.clock.now();
  }

  begin(): void {
    this.round += 1;
    this.replies = new Map();
    const view = this.options.replica.currentView;
    if (view === undefined) {
      this.retryOrRefuse();
      return;
    }
    this.replicas = replicasOf(view.spec.members, this.key);
    const { epoch } = view.spec;
    const { round, key, callId } = this;
    for (const { id } of this.replicas) {
      this.ask(id, { type: 'claim', epoch, key, callId }, (reply) => {
        this.onReply(round, id, reply);
      });
    }
    this.options.clock.schedule(ROUND_MS, () => this.onRoundOver(round));
  }

  onForwarded(): void {
    // A key in phase `claimed` already means that its call may have run.
  }

  onAnswered(): void {
    this.tellAll({ type: 'answered', key: this.key, callId: this.callId });
  }

  release(): void {
    if (this.released) return;
    this.released = true;
    this.decided = true;
    this.tellAll({ type: 'release', key: this.key, callId: this.callId });
  }

  private onReply(round: number, memberId: string, reply: ClaimReply | undefined): void {
    if (this.released && reply?.type === 'granted') {
      // The replica granted the claim after it was released.
      this.ask(memberId, { type: 'release', key: this.key, callId: this.callId }, ignoreReply);
    }
    if (this.decided || round !== this.round) return;
    this.replies.set(memberId, reply);
    this.evaluate();
  }

  private evaluate(): void {
    const quorum = claimQuorum(this.replicas.length);
    if (this.replicas.length > 0 && this.validGrants().length >= quorum) {
      this.settle({ type: 'granted' });
      return;
    }
    const isComplete = this.replies.size === this.replicas.length;
    if (isComplete) this.onRoundOver(this.round);
  }

  private onRoundOver(round: number): void {
    if (this.decided || round !== this.round) return;
    const held = this.findHeld();
    if (held === undefined) this.retryOrRefuse();
    else {
      this.release();
      this.decide(held);
    }
  }

  private retryOrRefuse(): void {
    // Ignores late replies of this round.
    this.round += 1;
    const { clock } = this.options;
    if (clock.now() - this.startedAt + PAUSE_MS < GIVE_UP_MS) {
      clock.schedule(PAUSE_MS, () => {
        if (!this.decided) this.begin();
      });
      return;
    }
    this.release();
    this.decide(UNKNOWN);
  }

  private settle(decision: ClaimDecision): void {
    this.decided = true;
    this.decide(decision);
  }

  /** Grants from replicas that, according to all grants, have not restarted since. */
  private validGrants(): GrantedReply[] {
    const grants = [...this.replies.values()].filter((reply) => reply?.type === 'granted');
    return grants.filter((grant) =>
      grants.every((other) =>
        other.known.every(
          ({ memberId, incarnation }) =>
            memberId !== grant.memberId || incarnation === grant.incarnation,
        ),
      ),
    );
  }

  private findHeld(): ClaimDecision | undefined {
    const held = [...this.replies.values()].filter((reply) => reply?.type === 'held');
    if (held.length === 0) return undefined;
    if (held.some((reply) => reply.phase === 'answered')) {
      const detail = 'A request with this key was answered.';
      return { type: 'held', verdict: 'ran', detail };
    }
    const detail = 'A request with this key was accepted and has not been answered yet.';
    return { type: 'held', verdict: 'may-have-run', detail };
  }

  private tellAll(message: ClaimMessage): void {
    for (const { id } of this.replicas) this.ask(id, message, ignoreReply);
  }

  private ask(
    memberId: string,
    message: ClaimMessage,
    onReply: (reply: ClaimReply | undefined) => void,
  ): void {
    const { selfId, replica, transport } = this.options;
    if (memberId === selfId) onReply(replica.handle(message));
    else transport.request(memberId, message, onReply);
  }
}

function ignoreReply(): void {
  // The reply is not needed: a claim that is not released expires.
}
