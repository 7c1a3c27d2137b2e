/** Processor time and memory of a process, from the kernel's own count. Relies on Linux' `/proc`. */
import { readFileSync } from 'node:fs';

/** Clock ticks a second in `/proc`, fixed on Linux. */
const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const KILOBYTES_PER_MEGABYTE = 1_024;

/** User and system time since the start, in milliseconds. */
export function cpuMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command name may hold spaces; fields are counted after its closing bracket.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
}

/** Resident memory in megabytes. */
export function residentMegabytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return kilobytes / KILOBYTES_PER_MEGABYTE;
}
