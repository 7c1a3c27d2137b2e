/**
 * The files of one data folder as the log storage sees them. Programs use {@link DiskFiles}; the
 * simulator uses files that lose what was not synced when their machine crashes.
 */

/** Called at the end of an operation: undefined when it was done, or why it failed. */
export type FileCallback = (error: Error | undefined) => void;

/** A file that only grows. */
export interface AppendFile {
  /** Adds bytes at the end and syncs them. One call at a time. */
  append(bytes: Uint8Array, done: FileCallback): void;
  close(): void;
}

export interface StorageFiles {
  /** Contents of a file, read while the process starts; undefined when there is none. */
  read(name: string): Uint8Array | undefined;
  /**
   * Replaces a file atomically: written under another name, synced, renamed, and the folder synced.
   * After a crash either the old contents stand or the new.
   */
  replace(name: string, bytes: Uint8Array, done: FileCallback): void;
  /** Opens a file for appending after its first `size` bytes; the rest is cut off. */
  openAppend(name: string, size: number): AppendFile;
}
