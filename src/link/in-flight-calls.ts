/** The calls in flight on one connection, by call id. The heartbeat monitor checks the peer while there is at least one. */
import type { LinkConnection } from './link-connection.js';

export class InFlightCalls<Call> {
  private readonly calls = new Map<number, Call>();

  constructor(private readonly connection: LinkConnection) {}

  get isEmpty(): boolean {
    return this.calls.size === 0;
  }

  has(id: number): boolean {
    return this.calls.has(id);
  }

  get(id: number): Call | undefined {
    return this.calls.get(id);
  }

  add(id: number, call: Call): void {
    this.calls.set(id, call);
    this.connection.setBusy(true);
  }

  /** Removes a call. @returns whether it was in flight */
  release(id: number): boolean {
    const existed = this.calls.delete(id);
    if (this.isEmpty) this.connection.setBusy(false);
    return existed;
  }

  /** Removes all calls. @returns the calls that were in flight */
  releaseAll(): Call[] {
    const calls = [...this.calls.values()];
    this.calls.clear();
    this.connection.setBusy(false);
    return calls;
  }
}
