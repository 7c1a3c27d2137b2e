/** Sends attempts over the simulated network; failures behave as with pooled TCP connections. */
import type { CallContext } from '../../src/call/call-context.js';
import type { Outcome } from '../../src/call/outcome.js';
import type {
  Attempt,
  AttemptMetadata,
  AttemptListener,
  OutboundTransport,
} from '../../src/call/transport.js';
import type { EndpointRecord } from '../../src/call/endpoint.js';
import type { SimMachine } from './sim-network.js';
import type { SimTarget } from './sim-target.js';
import type { SimWorld } from './sim-world.js';
import type { Cancellable } from '../model/cancellable.js';

/** A simulated request. */
export interface SimRequest {
  readonly labId: string;
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey: string | undefined;
}

/** A node's answer to an inbound call. */
export interface NodeAnswer {
  readonly status: number;
  readonly bytes: number;
  readonly outcome: Outcome;
}

const CONNECT_TIMEOUT_MS = 1_000;

export class SimOutboundTransport implements OutboundTransport {
  readonly replayable = true;

  /** @param onRelayed called with the status of an answer that is relayed to the caller */
  constructor(
    private readonly world: SimWorld,
    private readonly from: SimMachine,
    private readonly context: CallContext,
    private readonly request: SimRequest,
    private readonly onRelayed: (status: number) => void,
  ) {}

  send(endpoint: EndpointRecord, envelope: AttemptMetadata, listener: AttemptListener): Attempt {
    const attempt = new SimAttempt(this.world, this.from, listener, this.onRelayed);
    attempt.start(
      this.world.target(endpoint.id),
      { ...this.context, retries: envelope.retries },
      this.request,
    );
    return attempt;
  }
}

class SimAttempt implements Attempt {
  private wasWritten = false;
  private isDone = false;
  private inbound: Cancellable | undefined;
  private target: SimTarget | undefined;

  constructor(
    private readonly world: SimWorld,
    private readonly from: SimMachine,
    private readonly listener: AttemptListener,
    private readonly onRelayed: (status: number) => void,
  ) {}

  get written(): boolean {
    return this.wasWritten && this.world.mechanisms.writtenKnown;
  }

  start(target: SimTarget, context: CallContext, request: SimRequest): void {
    this.target = target;
    const { network, clock } = this.world;
    if (network.isCut(this.from, target.machine)) {
      this.startIntoCut(target);
      return;
    }
    this.wasWritten = target.machine.isAlive;
    const remainingMs = context.deadlineAt - clock.now();
    network.send(
      this.from,
      target.machine,
      () => this.arrive(target, { ...context, deadlineAt: clock.now() + remainingMs }, request),
      () => this.fail(this.wasWritten),
    );
    this.world.connections.add(`${this.from.id}>${target.machine.id}`);
  }

  cancel(): void {
    if (this.isDone) return;
    this.isDone = true;
    const { target } = this;
    if (target === undefined) return;
    this.world.network.send(this.from, target.machine, () => this.inbound?.cancel());
  }

  /** Over an open connection the request is lost without an error; opening a new connection times out. */
  private startIntoCut(target: SimTarget): void {
    if (this.world.connections.has(`${this.from.id}>${target.machine.id}`)) {
      this.wasWritten = true;
      return;
    }
    this.world.clock.schedule(CONNECT_TIMEOUT_MS, () =>
      this.from.runOrDefer(() => this.fail(false)),
    );
  }

  private arrive(target: SimTarget, context: CallContext, request: SimRequest): void {
    const { incarnation } = target.machine;
    this.world.onProcessEnd(target.machine, this, () => this.failAfterReset(target));
    this.inbound = target.handle(request, context, (answer) => {
      this.world.removeProcessEndListener(target.machine, this);
      if (target.machine.incarnation !== incarnation) return;
      target.machine.runOrDefer(() =>
        this.world.network.send(target.machine, this.from, () => this.receive(answer)),
      );
    });
  }

  /** The node's process has ended: its connections are reset. */
  private failAfterReset(target: SimTarget): void {
    this.world.network.send(target.machine, this.from, () => this.fail(true));
  }

  private receive(answer: NodeAnswer): void {
    if (this.isDone) return;
    const decision = this.listener.onHead({ status: answer.status, outcome: answer.outcome });
    this.isDone = true;
    if (decision === 'discard') return;
    this.listener.onEnd();
    this.onRelayed(answer.status);
  }

  private fail(written: boolean): void {
    if (this.isDone) return;
    this.isDone = true;
    const isKnown = this.world.mechanisms.writtenKnown;
    this.listener.onFailure({ reason: written ? 'reset' : 'connect', written: written && isKnown });
  }
}
