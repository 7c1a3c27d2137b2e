/**
 * Internal HTTP API for the processes that follow control (nodes, edges, sidecars): heartbeats and long-poll sync. For the
 * messages see `sync-protocol.ts`.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../common/clock.js';
import type { BodyLimits } from '../http/request-body.js';
import type { CrashEvidence } from '../quarantine/crash-evidence.js';
import type { ChangeNotifier } from './change-notifier.js';
import type { CommandLog } from './command-log.js';
import { isLinkRequest, readMessage, writeMessage, writeStatus } from '../http/link-messages.js';
import type { MemberTable } from './member-table.js';
import type { Heartbeat } from '../sync/heartbeat.js';
import type { QuotaGranter } from './quota-granter.js';
import type { ResourceStore } from './resource-store.js';
import {
  HEARTBEAT_PATH,
  SYNC_HOLD_MS,
  SYNC_PATH,
  type SyncRequest,
} from '../sync/sync-protocol.js';
import { SyncPacker } from './sync-packer.js';
import type { SyncResponder } from './sync-responder.js';
import { HttpStatus } from '../common/http-status.js';

export interface FollowerApiOptions {
  readonly clock: Clock;
  readonly store: ResourceStore;
  readonly members: MemberTable;
  readonly evidence: CrashEvidence;
  readonly quotas: QuotaGranter;
  readonly log: CommandLog;
  readonly notifier: ChangeNotifier;
  readonly linkToken: string;
  readonly responder: SyncResponder;
}

/** Maximum size of a request and maximum time to receive it. */
const BODY_LIMITS: BodyLimits = { bufferBytes: 64 * 1024, maxBytes: 64 * 1024, timeoutMs: 5_000 };
/** Interval in milliseconds at which a held sync checks that this replica still has a leader. */
const LEADER_CHECK_INTERVAL_MS = 2_000;

export class FollowerApi {
  private readonly packer: SyncPacker;

  constructor(private readonly options: FollowerApiOptions) {
    this.packer = new SyncPacker(options.responder);
  }

  /** Handles a request whose path starts with `/internal/`. */
  async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!isLinkRequest(message, this.options.linkToken)) {
      writeStatus(response, HttpStatus.Unauthorized);
      return;
    }
    if (message.url === HEARTBEAT_PATH) await this.heartbeat(message, response);
    else if (message.url === SYNC_PATH) await this.sync(message, response);
    else writeStatus(response, HttpStatus.NotFound);
  }

  private async heartbeat(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const heartbeat = await readMessage<Heartbeat>(message, BODY_LIMITS);
    if (heartbeat === undefined) {
      writeStatus(response, HttpStatus.BadRequest);
      return;
    }
    const { members, clock, store, notifier, log, responder, evidence, quotas } = this.options;
    const status = log.status();
    const { problem, origins, confirmedAgeMs } = status;
    const isCurrent = problem === undefined;
    const versionBefore = members.endpointVersion;
    const reply = members.onHeartbeat(heartbeat, clock.now(), store.revision, isCurrent, origins);
    const { crashNews } = heartbeat;
    const hasCrashNews = crashNews !== undefined && evidence.applyUpdate(crashNews);
    if (members.endpointVersion !== versionBefore || hasCrashNews) notifier.notify();
    if (reply.type !== 'ok') {
      writeMessage(response, reply);
      return;
    }
    const { id, quota: report } = heartbeat;
    const quota = report && quotas.onReport(id, report, status, clock.now());
    const endpoints = responder.endpointPosition;
    writeMessage(response, { ...reply, endpoints, confirmedAgeMs, quota });
  }

  private async sync(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const request = await readMessage<SyncRequest>(message, BODY_LIMITS);
    if (request === undefined) {
      writeStatus(response, HttpStatus.BadRequest);
      return;
    }
    const { clock, log, notifier, responder } = this.options;
    if (responder.needsReadBarrier(request) && (await log.readBarrier()) !== undefined) {
      writeStatus(response, HttpStatus.ServiceUnavailable);
      return;
    }
    const holdUntil = clock.now() + SYNC_HOLD_MS;
    while (!responder.hasUpdate(request) && clock.now() < holdUntil && !response.destroyed) {
      // A replica without a leader may never receive the next change; the error makes the follower try another replica.
      if (log.status().problem !== undefined) {
        writeStatus(response, HttpStatus.ServiceUnavailable);
        return;
      }
      await notifier.wait(Math.min(holdUntil - clock.now(), LEADER_CHECK_INTERVAL_MS));
    }
    writeMessage(response, this.packer.pack(request));
  }
}
