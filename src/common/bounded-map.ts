/**
 * A map with a maximum size, for observations by name of kind or route. Adding a key to a full map first removes all
 * entries, instead of tracking which was used last: observations are soon made again.
 */
export class BoundedMap<Value, Key = string> extends Map<Key, Value> {
  /** @param maxEntries maximum number of entries */
  constructor(private readonly maxEntries: number) {
    super();
  }

  override set(name: Key, value: Value): this {
    if (this.size >= this.maxEntries && !this.has(name)) this.clear();
    return super.set(name, value);
  }
}
