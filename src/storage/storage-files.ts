/**
 * Interface to the files of a data folder. Programs use {@link DiskFiles}; the simulator uses files that lose unsynced
 * data in a crash.
 */

/** Called with undefined once an operation has succeeded, or with its error. */
export type FileCallback = (error: Error | undefined) => void;

/** A file that is open for appending. */
export interface AppendFile {
  /** Appends bytes and syncs the file. Must not be called again before `done` has run. */
  append(bytes: Uint8Array, done: FileCallback): void;
  close(): void;
}

/** The files of one data folder. */
export interface StorageFiles {
  /** Creates the folder if it does not exist. @throws StorageError */
  createFolder(): void;
  /** Reads a file synchronously; returns undefined if it does not exist. Only called at startup. */
  read(name: string): Uint8Array | undefined;
  /**
   * Replaces a file atomically by writing and syncing a temporary file, renaming it and syncing the folder. After a crash
   * the file has either the old or the new contents.
   */
  replace(name: string, bytes: Uint8Array, done: FileCallback): void;
  /** Truncates a file to `size` bytes and opens it for appending. */
  openAppend(name: string, size: number): AppendFile;
}
