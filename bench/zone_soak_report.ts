import type * as platformCell from '../stand_ins/platform_cell.js';
import type * as zoneSoakFaults from './zone_soak_faults.js';

/** Lines that a process had written when a cut began. */
interface WatchedProcess {
  readonly process: platformCell.CellProcess;
  readonly isLeader: boolean;
  readonly firstLine: number;
}

/** What the VMs of a cut-off group have logged during a cut. */
export class CutReport {
  private readonly watched: ReadonlyArray<WatchedProcess>;
  private readonly beganAtMs = performance.now();

  constructor(
    private readonly cell: platformCell.PlatformCell,
    private readonly group: zoneSoakFaults.CutGroup,
    leader: platformCell.CellProcess,
  ) {
    this.watched = cell.processes
      .filter(({zone}) => group.zones.has(zone))
      .map(process => ({
        process,
        isLeader: process === leader,
        firstLine: process.child.lines.length,
      }));
  }

  /**
   * Returns a summary since the beginning: the proofs of the members that led,
   * why terms ended, how often steps waited, and the starts on the workers of
   * the group by the token of the leader that sent them.
   */
  summarize(): string {
    const parts = this.watched
      .map(watched => summarizeProcess(watched))
      .filter(part => part !== '');
    return [parts.join('; ') || 'no leader inside', this.starts()].join('; ');
  }

  private starts(): string {
    const counts = new Map<number, number>();
    for (const {id, events} of this.cell.workers) {
      if (!this.group.workers.has(id)) continue;
      for (const {kind, atMs, fencingToken} of events) {
        if (kind !== 'started' || atMs < this.beganAtMs) continue;
        counts.set(fencingToken, (counts.get(fencingToken) ?? 0) + 1);
      }
    }
    const byToken = [...counts].map(([token, count]) => `${token}:${count}`);
    return `starts inside by token ${byToken.join(' ') || 'none'}`;
  }
}

/** Events that tell what a leader believes; the rest is counted. */
const EXPLAINED_EVENTS: Readonly<Record<string, ReadonlyArray<string>>> = {
  termBegun: ['term'],
  leadershipProof: ['basis', 'ageMs'],
  termEnded: ['reason'],
  startSentLate: ['term', 'ageMs'],
};

const COUNTED_EVENTS = ['stepWaits', 'runAdopted', 'startSentLate'];

/** Most lines of one process in a summary. */
const MAXIMUM_EXPLAINED_LINES = 8;

function summarizeProcess({
  process,
  isLeader,
  firstLine,
}: WatchedProcess): string {
  const lines = process.child.lines.slice(firstLine);
  const explained = lines.flatMap(line => explainLine(line));
  const counts = COUNTED_EVENTS.map(event => {
    const count = lines.filter(line => line.includes(`event=${event} `)).length;
    return `${event}=${count}`;
  });
  if (!isLeader && explained.length === 0) return '';
  counts.push(`stepWaitsWithoutProof=${countWaitsWithoutProof(lines)}`);
  const role = isLeader ? 'leader ' : '';
  const shown = explained.slice(0, MAXIMUM_EXPLAINED_LINES);
  return [`${role}${process.name}`, ...counts, ...shown].join(' ');
}

/** Counts waiting steps that a leader logs while it may not start any. */
function countWaitsWithoutProof(lines: ReadonlyArray<string>): number {
  let hasProof = true;
  let count = 0;
  for (const line of lines) {
    if (line.includes('event=leadershipProof ')) {
      hasProof = !line.includes('basis=none');
    }
    if (!hasProof && line.includes('event=stepWaits ')) count += 1;
  }
  return count;
}

function explainLine(line: string): ReadonlyArray<string> {
  const event = /event=(\w+)/.exec(line)?.[1] ?? '';
  const keys = EXPLAINED_EVENTS[event];
  if (keys === undefined) return [];
  const values = keys.map(
    key => new RegExp(`\\b${key}=(\\S+)`).exec(line)?.[1],
  );
  return [`${event}(${values.join(',')})`];
}
