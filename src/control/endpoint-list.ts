/** Versioned list of the endpoints known to one control replica, with its latest changes. Versions count from the start of the process. */
import type { EndpointRecord } from '../call/endpoint.js';
import type { EndpointChange } from '../sync/sync-protocol.js';

/** Maximum number of changes kept; followers that are further behind receive the whole list. */
const MAX_CHANGES = 5_000;

export class EndpointList {
  private readonly records = new Map<string, EndpointRecord>();
  private changes: EndpointChange[] = [];
  private currentVersion = 0;

  /** Number of changes since the start of this replica. */
  get version(): number {
    return this.currentVersion;
  }

  list(): EndpointRecord[] {
    return [...this.records.values()];
  }

  /** Changes after `version`; undefined when some were evicted or `version` is in the future. */
  changesSince(version: number): EndpointChange[] | undefined {
    const first = this.changes[0];
    const oldest = first === undefined ? this.version : first.version - 1;
    if (version < oldest || version > this.version) return undefined;
    return this.changes.filter((change) => change.version > version);
  }

  /** Adds or replaces an endpoint. An identical record creates no change. */
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
