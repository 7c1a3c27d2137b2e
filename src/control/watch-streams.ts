/** Watches: streams of JSON lines with the changes since a given revision. */
import type { ServerResponse } from 'node:http';
import type { ChangeNotifier } from './change-notifier.js';
import type { ResourceStore } from './resource-store.js';
import type { WatchEvent } from '../sync/watch-event.js';

/** Interval of bookmark events on an idle watch, in milliseconds; half the client's idle timeout. */
const BOOKMARK_INTERVAL_MS = 5_000;
/** Watchers with more unread bytes are disconnected; they resume from their last revision. */
const MAX_UNREAD_BYTES = 1024 * 1024;

export class WatchStreams {
  private closed = false;
  private readonly openStreams = new Set<ServerResponse>();

  constructor(
    private readonly store: ResourceStore,
    private readonly notifier: ChangeNotifier,
    private readonly inForceRevision: () => number,
  ) {}

  /** Streams the changes after revision `from` until the client or the server ends the stream. */
  open(response: ServerResponse, from: number): void {
    response.writeHead(200, {
      'Content-Type': 'application/x-ndjson',
      'Cache-Control': 'no-store',
    });
    this.openStreams.add(response);
    response.once('close', () => this.openStreams.delete(response));
    void this.follow(response, from);
  }

  /** Ends all streams; clients resume at another replica. */
  close(): void {
    this.closed = true;
    for (const response of this.openStreams) response.end();
    this.notifier.notify();
  }

  private async follow(response: ServerResponse, from: number): Promise<void> {
    let revision = from;
    let lastInForceRevision = -1;
    while (!this.closed && !response.destroyed) {
      const changes = this.store.changesSince(revision);
      if (changes === undefined) {
        writeEvent(response, { type: 'relist' });
        response.end();
        return;
      }
      for (const change of changes) writeEvent(response, { type: 'change', change });
      revision = changes.at(-1)?.revision ?? revision;
      const inForceRevision = this.inForceRevision();
      if (changes.length === 0 || inForceRevision !== lastInForceRevision) {
        lastInForceRevision = inForceRevision;
        writeEvent(response, { type: 'bookmark', revision, inForceRevision });
      }
      if (response.writableLength > MAX_UNREAD_BYTES) {
        response.destroy();
        return;
      }
      await this.notifier.wait(BOOKMARK_INTERVAL_MS);
    }
  }
}

function writeEvent(response: ServerResponse, event: WatchEvent): void {
  response.write(`${JSON.stringify(event)}\n`);
}
