/**
 * The graceful stop of a sidecar. Ends of phases are fractions of `stop.graceMs`, the time until the process is killed (see
 * {@link stopTimes} and docs/design/platform.md, "Start and stop of a sidecar"):
 *
 * | phase     | ends                          | accepted calls                                                     |
 * | --------- | ----------------------------- | ------------------------------------------------------------------ |
 * | draining  | at 0.42                       | all that can be answered by 0.9, as clients need time to move away |
 * | finishing | when idle, at 0.93 the latest | only those that the target makes for requests in flight            |
 * | ending    | 0.15 s later at the latest    | none: the last responses are sent, then connections are closed     |
 *
 * Without `stop.graceMs`, draining takes `stop.drainMs` and finishing at most `stop.timeoutMs`.
 */
import type { AdmissionController } from '../admission/admission-controller.js';
import { waitUntilAllIdle, type CallStats } from '../call/call-stats.js';
import type { GateServer } from '../gate/gate-server.js';
import type { IngressServer } from '../ingress/ingress-server.js';
import type { RequestLog } from '../call/request-log.js';
import {
  StopPhase,
  stopTimes,
  type StopSettings,
  type StopProgress,
  type StopTimes,
} from '../call/stop-phase.js';
import type { Follower } from '../follower/follower.js';
import type { TargetConnectionPool } from '../membership/target-connection-pool.js';
import type { ListeningServer } from '../http/listening-server.js';
import type { LinkPool } from '../link/link-pool.js';
import type { LinkServer } from '../link/link-server.js';
import type { Logger } from '../common/logger.js';
import { delay, finishesWithin } from './program.js';

/** Maximum time to wait for control to confirm the announcement, in milliseconds. */
const ANNOUNCEMENT_TIMEOUT_MS = 300;
/** Maximum time for connections to close after their last responses, in milliseconds. */
const CLOSE_TIMEOUT_MS = 150;

/** The parts of a sidecar that its stop needs. */
export interface StoppingParts {
  readonly stopProgress: StopProgress;
  readonly logger: Logger;
  readonly journal: RequestLog;
  readonly follower: Follower;
  readonly admission: AdmissionController;
  readonly inboundStats: CallStats;
  readonly outboundStats: CallStats;
  readonly links: LinkPool;
  readonly instancePool: TargetConnectionPool;
}

/** The servers that the stop closes. */
export interface StoppingServers {
  readonly gate: GateServer;
  readonly ingress: IngressServer;
  readonly inbound: LinkServer;
  readonly outbound: ListeningServer;
  readonly registration: ListeningServer;
  readonly admin: ListeningServer;
}

export class SidecarStop {
  constructor(
    private readonly parts: StoppingParts,
    private readonly servers: StoppingServers,
  ) {}

  /** Resolves once every connection is closed. */
  async run(declared: StopSettings): Promise<void> {
    // Connections are closed last: closing them while calls are in flight would lose responses.
    await this.drain(stopTimes(declared));
    const hasFinished = await this.finish();
    await this.end(hasFinished);
    this.parts.logger.info('Stopped.');
  }

  /** Accepts calls as before until clients have noticed that the process is not ready. */
  private async drain(times: StopTimes): Promise<void> {
    const { stopProgress, logger } = this.parts;
    stopProgress.begin(times);
    logger.info('Draining until clients have moved on.', { ...times });
    await delay(times.drainMs);
  }

  /**
   * Refuses queued calls at once, as other gates can still take them, and waits for calls in flight.
   * @returns whether all calls finished in time
   */
  private async finish(): Promise<boolean> {
    const { stopProgress, logger, admission, follower } = this.parts;
    stopProgress.phase = StopPhase.Finishing;
    logger.info('Stopping; waiting for calls in flight.', this.inFlight());
    admission.refuseWaiting();
    const announced = finishesWithin(follower.announceLeaving(), ANNOUNCEMENT_TIMEOUT_MS);
    return finishesWithin(this.untilIdle(announced), stopProgress.timeLeftMs);
  }

  /** Waits for the announcement to control, then until no call is in flight. */
  private async untilIdle(announced: Promise<boolean>): Promise<void> {
    const { inboundStats, outboundStats } = this.parts;
    await announced;
    await waitUntilAllIdle([inboundStats, outboundStats]);
  }

  /** Answers the remaining calls with an accurate verdict, then closes connections. */
  private async end(hasFinished: boolean): Promise<void> {
    this.parts.stopProgress.phase = StopPhase.Ending;
    if (!hasFinished) this.abortCalls();
    await this.closeConnections();
  }

  private abortCalls(): void {
    const { logger, journal } = this.parts;
    const { ingress, gate } = this.servers;
    logger.warn('Calls were still in flight at the end of the stop.', this.inFlight());
    journal.onAbortedByStop(ingress.getInFlightRecords());
    ingress.endWithProcess();
    gate.endWithProcess();
  }

  /** Closes connections after their last responses are sent: destroying them at once would lose these. */
  private async closeConnections(): Promise<void> {
    const { follower, links, instancePool } = this.parts;
    const { inbound, outbound, registration, admin } = this.servers;
    follower.stop();
    links.finish();
    const closed = Promise.all([inbound.finish(), outbound.close()]);
    await finishesWithin(
      closed.then(() => undefined),
      CLOSE_TIMEOUT_MS,
    );
    for (const server of [inbound, outbound, registration, admin]) server.destroy();
    links.destroy();
    await instancePool.destroy();
  }

  private inFlight(): { inbound: number; outbound: number } {
    const { inboundStats, outboundStats } = this.parts;
    return { inbound: inboundStats.inFlight, outbound: outboundStats.inFlight };
  }
}
