/** Removes the listeners that a test has added to its own process. */
type Listener = (...args: unknown[]) => void;

/** Records the listeners of this process. @returns a function that removes those added since */
export function watchProcessListeners(): () => void {
  const before = new Map(process.eventNames().map((name) => [name, process.rawListeners(name)]));
  return () => {
    for (const name of process.eventNames()) {
      const known = before.get(name) ?? [];
      for (const listener of process.rawListeners(name)) {
        if (!known.includes(listener)) process.removeListener(name, listener as Listener);
      }
    }
  };
}
