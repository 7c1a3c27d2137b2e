/**
 * The links of one sidecar to others, by the origin of the other: one each, made when it is used.
 *
 * For: the transports of the ingress. Owns: the links, and the one watch over their peers. Relies on: `peer-link.ts` to
 * say when a link is over; the next call to that origin makes a new one.
 */
import type { LinkCall, LinkCallListener, LinkStream } from './link-stream.js';
import { PeerLink } from './peer-link.js';
import { HeartbeatMonitor } from './peer-watch.js';

export class LinkPool {
  private readonly links = new Map<string, PeerLink>();
  private readonly heartbeats = new HeartbeatMonitor();

  constructor(private readonly token: string) {}

  /**
   * Sends a call to the sidecar at `origin`.
   * @returns undefined, and the listener is never called, if that sidecar has fallen silent
   */
  call(origin: string, call: LinkCall, listener: LinkCallListener): LinkStream | undefined {
    const getOrCreateLink = this.link(origin);
    return getOrCreateLink.isSuspect ? undefined : getOrCreateLink.call(call, listener);
  }

  /** Closes links to origins that are no longer used, unless calls are under way there. */
  retain(origins: ReadonlySet<string>): void {
    for (const [origin, link] of this.links) {
      if (!origins.has(origin) && link.isIdle) link.close();
    }
  }

  /** Ends every link once what still waits has been sent. */
  finish(): void {
    for (const link of this.links.values()) link.finish();
  }

  /** Ends every link at once. */
  destroy(): void {
    for (const link of [...this.links.values()]) link.close();
  }

  private link(origin: string): PeerLink {
    const existing = this.links.get(origin);
    if (existing !== undefined) return existing;
    const link: PeerLink = new PeerLink(origin, this.token, this.heartbeats, () => {
      if (this.links.get(origin) === link) this.links.delete(origin);
    });
    this.links.set(origin, link);
    return link;
  }
}
