/** Watches: streams of JSON lines that follow the changes from a revision on. Owns the open streams. */
import type { ServerResponse } from 'node:http';
import type { ChangeNotifier } from './change-notifier.js';
import type { ResourceStore } from './resource-store.js';
import type { WatchEvent } from '../sync/watch-event.js';

/** Time between two signs of life on a watch without changes, in milliseconds: half a client's limit. */
const BOOKMARK_INTERVAL_MS = 5_000;
/** A watcher that leaves this much unread, in bytes, is cut off; it resumes from its last revision. */
const MAX_UNREAD_BYTES = 1024 * 1024;

export class WatchStreams {
  private closed = false;
  private readonly openStreams = new Set<ServerResponse>();

  constructor(
    private readonly store: ResourceStore,
    private readonly notifier: ChangeNotifier,
    private readonly inForceRevision: () => number,
  ) {}

  /** Streams the changes after `from` until the client or the server ends the stream. */
  open(response: ServerResponse, from: number): void {
    response.writeHead(200, {
      'Content-Type': 'application/x-ndjson',
      'Cache-Control': 'no-store',
    });
    this.openStreams.add(response);
    response.once('close', () => this.openStreams.delete(response));
    void this.follow(response, from);
  }

  /** Ends every stream; clients resume at another replica. */
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
