/** A bounded set of incarnations, some of which have no known start time. */
import { incarnationName, type Incarnation } from './incarnation.js';

export class IncarnationSet<Member extends Incarnation = Incarnation> {
  private readonly members = new Map<string, Member>();

  /** @param maxSize number of members above which the oldest is evicted */
  constructor(private readonly maxSize: number) {}

  /** Adds a member, in place of one with the same id and start time. */
  add(member: Member): void {
    const name = incarnationName(member);
    this.members.delete(name);
    this.members.set(name, member);
    if (this.members.size <= this.maxSize) return;
    const [oldest] = this.members.keys();
    if (oldest !== undefined) this.members.delete(oldest);
  }

  delete(incarnation: Incarnation): void {
    this.members.delete(incarnationName(incarnation));
  }

  /** Returns the member that is this incarnation. Without a start time, it may be any member with its id: the newest one. */
  find(incarnation: Incarnation): Member | undefined {
    if (incarnation.born !== undefined) return this.members.get(incarnationName(incarnation));
    const { instance } = incarnation;
    return [...this.members.values()].findLast((member) => member.instance === instance);
  }

  has(incarnation: Incarnation): boolean {
    return this.find(incarnation) !== undefined;
  }

  /** Whether a member has this id and no known start time. */
  hasUndated(instance: string): boolean {
    return this.members.has(incarnationName({ instance }));
  }
}
