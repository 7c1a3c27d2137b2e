/** Reads CPU time and memory of a process from `/proc`; Linux only. */
import { readFileSync } from 'node:fs';

/** Clock ticks per second (USER_HZ) in `/proc`, a constant on Linux. */
const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const KILOBYTES_PER_MEGABYTE = 1_024;

/** User and system CPU time since the start of the process, in milliseconds. */
export function cpuMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command name may contain spaces; field indexes count from after its closing parenthesis.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
}

/** Resident set size, in megabytes. */
export function residentMegabytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return kilobytes / KILOBYTES_PER_MEGABYTE;
}
