import * as fs from 'node:fs';

/** Unit of the CPU times in /proc: Linux reports 100 clock ticks a second. */
const TICKS_PER_SECOND = 100;

/** Cumulative resource usage of a process at one moment, read from /proc. */
export interface ProcessReading {
  readonly atMs: number;
  readonly processorSeconds: number;
  readonly residentBytes: number;
  /** Bytes that the process has read and written, on sockets and files. */
  readonly ioBytes: number;
}

/** Resource usage of a process between two readings. */
export interface ProcessUsage {
  readonly processorPercent: number;
  readonly residentMebibytes: number;
  readonly bytesPerSecond: number;
}

/** Reads the resource usage of a process from /proc. */
export function readProcess(pid: number): ProcessReading {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  const io = fs.readFileSync(`/proc/${pid}/io`, 'utf8');
  const read = Number(/rchar: (\d+)/.exec(io)?.[1] ?? 0);
  const written = Number(/wchar: (\d+)/.exec(io)?.[1] ?? 0);
  return {
    atMs: performance.now(),
    processorSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: resident * 1_024,
    ioBytes: read + written,
  };
}

/** Returns the usage between two readings of a process. */
export function usageBetween(
  earlier: ProcessReading,
  later: ProcessReading,
): ProcessUsage {
  const seconds = (later.atMs - earlier.atMs) / 1_000;
  const processor = later.processorSeconds - earlier.processorSeconds;
  return {
    processorPercent: (100 * processor) / seconds,
    residentMebibytes: later.residentBytes / 1_048_576,
    bytesPerSecond: (later.ioBytes - earlier.ioBytes) / seconds,
  };
}
