/**
 * The endpoints that one control replica hands out, with a version for each change since its start. Owns the list and its
 * latest changes, in memory alone; `member-table.ts` decides what stands in it.
 */
import type { EndpointRecord } from '../call/endpoint.js';
import type { EndpointChange } from '../sync/sync-protocol.js';

/** Changes kept for followers that are behind; one that is further behind gets the whole list. */
const MAX_CHANGES = 5_000;

export class EndpointList {
  private readonly records = new Map<string, EndpointRecord>();
  private changes: EndpointChange[] = [];
  private currentVersion = 0;

  /** Counts the changes since the start of this replica. */
  get version(): number {
    return this.currentVersion;
  }

  /** Every endpoint. */
  list(): EndpointRecord[] {
    return [...this.records.values()];
  }

  /** The changes after `version`; undefined when they are no longer all kept. */
  changesSince(version: number): EndpointChange[] | undefined {
    const first = this.changes[0];
    const oldest = first === undefined ? this.version : first.version - 1;
    if (version < oldest || version > this.version) return undefined;
    return this.changes.filter((change) => change.version > version);
  }

  /** Adds or replaces an endpoint. One that stands so already makes no change. */
  set(record: EndpointRecord): void {
    const { id } = record;
    if (isSameEndpoint(this.records.get(id), record)) return;
    this.records.set(id, record);
    this.addChange(id, record);
  }

  remove(id: string): void {
    if (this.records.delete(id)) this.addChange(id, undefined);
  }

  private addChange(id: string, record: EndpointRecord | undefined): void {
    this.currentVersion += 1;
    this.changes.push({ version: this.version, id, record });
    if (this.changes.length > MAX_CHANGES) this.changes.shift();
  }
}

function isSameEndpoint(first: EndpointRecord | undefined, second: EndpointRecord): boolean {
  return (
    first !== undefined &&
    first.incarnation === second.incarnation &&
    first.service === second.service &&
    first.zone === second.zone &&
    first.origin === second.origin &&
    first.state === second.state
  );
}
