/** The outgoing links of a sidecar, one for each origin. A link is opened on first use and replaced after it has closed. */
import type { LinkCall, LinkCallListener, LinkStream } from './link-stream.js';
import { PeerLink } from './peer-link.js';
import { HeartbeatMonitor } from './heartbeat-monitor.js';

export class LinkPool {
  private readonly links = new Map<string, PeerLink>();
  private readonly heartbeats = new HeartbeatMonitor();

  constructor(private readonly token: string) {}

  /**
   * Sends a call to the sidecar at `origin`.
   * @returns undefined if that sidecar does not answer heartbeats; the listener is not called then
   */
  call(origin: string, call: LinkCall, listener: LinkCallListener): LinkStream | undefined {
    const getOrCreateLink = this.link(origin);
    return getOrCreateLink.isSuspect ? undefined : getOrCreateLink.call(call, listener);
  }

  /** Closes idle links to all origins but these. */
  retain(origins: ReadonlySet<string>): void {
    for (const [origin, link] of this.links) {
      if (!origins.has(origin) && link.isIdle) link.close();
    }
  }

  /** Closes all links after their pending frames have been sent. */
  finish(): void {
    for (const link of this.links.values()) link.finish();
  }

  /** Closes all links immediately. */
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
