/**
 * The calls under way on one connection, by the id that frames name them with.
 *
 * For: both sides of a link. Owns: which calls are under way, and with that whether the peer is watched. Relies on: the
 * connection, which ends when its watch gives the peer up.
 */
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

  /** Forgets a call. @returns whether it was under way */
  release(id: number): boolean {
    const existed = this.calls.delete(id);
    if (this.isEmpty) this.connection.setBusy(false);
    return existed;
  }

  /** Forgets every call. @returns those that were under way */
  releaseAll(): Call[] {
    const calls = [...this.calls.values()];
    this.calls.clear();
    this.connection.setBusy(false);
    return calls;
  }
}
