/** A simulated edge: creates the call context as the product does and uses the product's router. */
import { OverloadThrottle } from '../../src/admission/overload-throttle.js';
import { createEdgeOutboundRequest, createEdgeContext } from '../../src/edge/edge-context.js';
import type { CallContext } from '../../src/call/call-context.js';
import type { OutboundRequest } from '../../src/outbound/outbound-request.js';
import { OutboundRouter } from '../../src/outbound/outbound-router.js';
import { refusalStatus } from '../../src/call/refusal.js';
import type { Clock } from '../../src/common/clock.js';
import type { RandomSource } from '../../src/common/random.js';
import type { RequestKind } from '../../src/policy/policy-table.js';
import type { ServiceDirectory } from '../../src/routing/service-directory.js';
import type { AttemptAnswer, CallerAttempt } from '../model/caller-model.js';
import type { Mechanisms } from './mechanisms.js';
import { MachineClock } from './machine-clock.js';
import { SimMachine } from './sim-network.js';
import { SimOutboundTransport } from './sim-transport.js';
import { UnboundedAllowance, UNBOUNDED_RETRY_RATIO } from './unbounded-allowance.js';
import type { SimWorld } from './sim-world.js';
import type { Cancellable } from '../model/cancellable.js';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

export class SimEdge {
  readonly machine: SimMachine;
  readonly directory: ServiceDirectory;
  private readonly clock: Clock;
  private readonly router: OutboundRouter;

  constructor(
    id: string,
    zone: string,
    private readonly world: SimWorld,
    random: RandomSource,
    private readonly mechanisms: Mechanisms,
  ) {
    this.machine = new SimMachine(id, zone);
    this.clock = new MachineClock(world.clock, this.machine);
    this.directory = world.createDirectory(this.machine);
    this.router = new OutboundRouter({
      clock: this.clock,
      random,
      directory: this.directory,
      throttle: new OverloadThrottle(random, { enabled: mechanisms.throttle }),
    });
  }

  private outboundRequest(context: CallContext, kind: RequestKind): OutboundRequest {
    const request = createEdgeOutboundRequest(context, kind);
    if (this.mechanisms.retryBound) return request;
    return { ...request, allowance: new UnboundedAllowance(), retryRatio: UNBOUNDED_RETRY_RATIO };
  }

  /** Handles a request from a caller. */
  handle(
    attempt: CallerAttempt,
    group: string,
    answer: (answer: AttemptAnswer) => void,
  ): Cancellable {
    const { table } = this.world;
    const kind = table.matchKind(attempt.method, attempt.path);
    if (kind === undefined) {
      answer(refused(STATUS_NOT_FOUND, 'not-run', 0));
      return { cancel: () => undefined };
    }
    const context = createEdgeContext(
      attempt.labId,
      { name: group },
      kind,
      undefined,
      this.clock.now(),
    );
    const { labId, method, path, idempotencyKey } = attempt;
    return this.router.call(
      kind.service,
      this.outboundRequest(context, kind),
      new SimOutboundTransport(
        this.world,
        this.machine,
        context,
        { labId, method, path, idempotencyKey },
        (status) => answer(relayed(status)),
      ),
      (result) => {
        if (result.type === 'refused') {
          const { verdict, retryAfterSeconds } = result.refusal;
          answer(refused(refusalStatus(result.refusal), verdict, retryAfterSeconds));
        } else if (result.type === 'broken') answer(relayed(0));
      },
    );
  }
}

function relayed(status: number): AttemptAnswer {
  const check = status === STATUS_OK ? 'whole' : undefined;
  return { status, verdict: undefined, retryAfterSeconds: 0, check };
}

function refused(
  status: number,
  verdict: AttemptAnswer['verdict'],
  retryAfterSeconds: number,
): AttemptAnswer {
  return { status, verdict, retryAfterSeconds, check: undefined };
}
