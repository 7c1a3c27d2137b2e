/**
 * A map for what is learned of names that come and go, such as kinds and routes: full, it forgets all before it takes a
 * new name. What is learned is learned again soon, so no order of use is kept.
 */
export class BoundedMap<Value> extends Map<string, Value> {
  /** @param maxEntries names that are remembered at once */
  constructor(private readonly maxEntries: number) {
    super();
  }

  override set(name: string, value: Value): this {
    if (this.size >= this.maxEntries && !this.has(name)) this.clear();
    return super.set(name, value);
  }
}
