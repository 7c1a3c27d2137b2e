/**
 * Detects that a newer process has taken over the id of this one. Control replicas order the processes of an id by their
 * start times: after the wall clock of a machine was set back, a restarted process looks older than the crashed one that it
 * replaces, until the lease of that one ends. So only a replica that has accepted this process can know of a newer one.
 */
import type { Logger } from '../common/logger.js';
import type { HeartbeatReply } from '../sync/heartbeat.js';

export class SupersededDetector {
  /** Origins of the replicas that have accepted a heartbeat of this process. */
  private readonly acceptedBy = new Set<string>();
  private hasLogged = false;

  constructor(private readonly logger: Logger) {}

  /**
   * Evaluates the reply of a replica to a heartbeat.
   * @returns whether a newer process has taken over
   */
  onReply(origin: string, reply: HeartbeatReply): boolean {
    if (reply.type === 'ok') {
      this.acceptedBy.add(origin);
      return false;
    }
    if (this.acceptedBy.has(origin)) return true;
    this.logNotAccepted(origin);
    return false;
  }

  private logNotAccepted(origin: string): void {
    if (this.hasLogged) return;
    this.hasLogged = true;
    this.logger.warn('Not accepted yet; control knows a process of this id with a later start.', {
      origin,
    });
  }
}
