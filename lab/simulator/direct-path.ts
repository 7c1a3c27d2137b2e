/**
 * The baseline without shoredoor: callers and targets send requests directly to a random target, and
 * every hop retries independently.
 */
import type { RandomSource } from '../../src/common/random.js';
import type { AttemptAnswer, CallerAttempt } from '../model/caller-model.js';
import type { BackendCall } from '../model/backend-model.js';
import type { NestedCallModel } from '../model/deployment.js';
import type { SimMachine } from './sim-network.js';
import type { SimTarget } from './sim-target.js';
import type { SimWorld } from './sim-world.js';
import type { Cancellable } from '../model/cancellable.js';

const HOP_RETRIES = 2;
const HOP_TIMEOUT_MS = 1_000;
const STATUS_OK = 200;
const STATUS_CONNECTION_FAILED = 0;
/** Requests carry no deadline without shoredoor. */
const NO_DEADLINE = Number.MAX_SAFE_INTEGER;

interface DirectRequest {
  readonly labId: string;
  readonly method: string;
  readonly path: string;
}

export class DirectPath {
  constructor(
    private readonly world: SimWorld,
    private readonly random: RandomSource,
  ) {}

  /** Sends one attempt of a caller. The caller model does the retries. */
  sendFromCaller(attempt: CallerAttempt, done: (answer: AttemptAnswer) => void): Cancellable {
    const service = this.world.table.matchKind(attempt.method, attempt.path)?.service ?? '';
    return this.send(undefined, service, attempt, (status) => {
      const check = status === STATUS_OK ? 'whole' : undefined;
      done({ status, verdict: undefined, retryAfterSeconds: 0, check });
    });
  }

  /** Sends a target's nested call to another service, with retries. */
  sendFromTarget(
    from: SimMachine,
    call: NestedCallModel,
    labId: string,
    done: (status: number) => void,
  ): Cancellable {
    const { method, path, service } = call;
    let cancelled = false;
    let current: Cancellable | undefined;
    const attempt = (retriesLeft: number): void => {
      current = this.sendWithTimeout(from, service, { labId, method, path }, (status) => {
        if (cancelled) return;
        if (status === STATUS_OK || retriesLeft === 0) done(status);
        else attempt(retriesLeft - 1);
      });
    };
    attempt(HOP_RETRIES);
    return {
      cancel: () => {
        cancelled = true;
        current?.cancel();
      },
    };
  }

  private sendWithTimeout(
    from: SimMachine,
    service: string,
    request: DirectRequest,
    done: (status: number) => void,
  ): Cancellable {
    let isDone = false;
    const finish = (status: number): void => {
      if (isDone) return;
      isDone = true;
      timer.cancel();
      done(status);
    };
    const timer = this.world.clock.schedule(HOP_TIMEOUT_MS, () => {
      handle.cancel();
      finish(STATUS_CONNECTION_FAILED);
    });
    const handle = this.send(from, service, request, finish);
    return handle;
  }

  /** Sends one attempt to a random live target. */
  private send(
    from: SimMachine | undefined,
    service: string,
    request: DirectRequest,
    done: (status: number) => void,
  ): Cancellable {
    const targets = this.world.targetsOf(service).filter((target) => target.machine.isAlive);
    const target = targets[this.random.nextInt(targets.length)];
    let call: BackendCall | undefined;
    let cancelled = false;
    const respond = (status: number): void => {
      if (target === undefined || cancelled) return;
      this.deliverResponse(target, from, () => {
        if (!cancelled) done(status);
      });
    };
    if (target === undefined) done(STATUS_CONNECTION_FAILED);
    else {
      this.deliverRequest(from, target, () => {
        if (cancelled) return;
        call = target.backend.accept({ ...request, deadlineAt: NO_DEADLINE }, respond);
      });
    }
    return {
      cancel: () => {
        cancelled = true;
        call?.cancel();
      },
    };
  }

  private deliverRequest(
    from: SimMachine | undefined,
    target: SimTarget,
    arrive: () => void,
  ): void {
    const { network } = this.world;
    if (from !== undefined) network.send(from, target.machine, arrive);
    else
      this.world.clock.schedule(this.world.clientLatencyMs(), () =>
        target.machine.runOrDefer(arrive),
      );
  }

  private deliverResponse(target: SimTarget, to: SimMachine | undefined, arrive: () => void): void {
    const { network } = this.world;
    if (to !== undefined) network.send(target.machine, to, arrive);
    else this.world.clock.schedule(this.world.clientLatencyMs(), arrive);
  }
}
