/**
 * What a process runs and on what, for its first log line: version, engine, and the limits that it sees. Whatever can't be read
 * is left out, as this must not keep a process from starting.
 */
import { readFileSync, realpathSync } from 'node:fs';
import { totalmem } from 'node:os';
import { dirname, join } from 'node:path';
import { getHeapStatistics } from 'node:v8';

const BYTES_PER_MB = 2 ** 20;
/** Folders above the script that may hold package.json. */
const MAX_PACKAGE_DEPTH = 4;
const DESCRIPTOR_LIMIT = /^Max open files\s+(\d+)/m;

/** What the command line of a process names. */
export interface ProcessCommand {
  readonly program: string | undefined;
  readonly settingsFile: string | undefined;
}

/** Fields of the first log line. Memory is in MB. */
export interface ProcessDescription extends ProcessCommand {
  readonly version: string | undefined;
  readonly engine: string;
  readonly architecture: string;
  /** Flags of the engine. */
  readonly flags: readonly string[];
  readonly heapLimitMb: number | undefined;
  /** Limit of the control group, or else the memory of the machine. */
  readonly memoryLimitMb: number | undefined;
  readonly descriptorLimit: number | undefined;
}

export function describeProcess(command: ProcessCommand): ProcessDescription {
  return {
    ...command,
    version: readOrOmit(readVersion),
    engine: process.version,
    architecture: process.arch,
    flags: process.execArgv,
    heapLimitMb: readOrOmit(() => toMb(getHeapStatistics().heap_size_limit)),
    memoryLimitMb: readOrOmit(readMemoryLimitMb),
    descriptorLimit: readOrOmit(readDescriptorLimit),
  };
}

function readOrOmit<Value>(read: () => Value): Value | undefined {
  try {
    return read();
  } catch {
    // Not logged: the line lacks the field, which says the same.
    return undefined;
  }
}

/** Reads the version from the package.json nearest above the script. */
function readVersion(): string | undefined {
  let folder = dirname(realpathSync(process.argv[1] ?? ''));
  for (let depth = 0; depth < MAX_PACKAGE_DEPTH; depth += 1) {
    const file = readOrOmit(() => readFileSync(join(folder, 'package.json'), 'utf8'));
    if (file !== undefined) return (JSON.parse(file) as { readonly version?: string }).version;
    folder = dirname(folder);
  }
  return undefined;
}

function readMemoryLimitMb(): number {
  const constrained = process.constrainedMemory();
  return toMb(constrained > 0 ? Math.min(constrained, totalmem()) : totalmem());
}

function readDescriptorLimit(): number | undefined {
  const match = DESCRIPTOR_LIMIT.exec(readFileSync('/proc/self/limits', 'utf8'));
  return match === null ? undefined : Number(match[1]);
}

function toMb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}
