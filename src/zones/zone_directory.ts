import type * as clock from '../machines/clock.js';
import type * as processDirectory from '../contracts/process_directory.js';
import type * as zoneControl from './zone_control.js';

/** The processes of the own zone as requests and journals need them. */
export class ZoneDirectory implements processDirectory.ProcessDirectory {
  constructor(
    private readonly self: string,
    private readonly zone: zoneControl.ZoneControl,
  ) {}

  /** Other members, apart from those that the VM list proves to be gone. */
  members(): ReadonlyArray<processDirectory.Member> {
    return this.zone
      .members()
      .filter(({process, state}) => process !== this.self && state !== 'dead');
  }

  /** Address of a member that was heard within the last seconds. */
  liveAddress(process: string): string | undefined {
    const member = this.zone.members().find(known => known.process === process);
    if (member === undefined || process === this.self) return undefined;
    const reachable = member.state === 'live' || member.state === 'leaving';
    return reachable ? member.address : undefined;
  }

  /** Whether a process has ended and its permits with it. */
  isSucceeded(process: string, now: clock.Milliseconds): boolean {
    return this.zone.isSucceeded(process, now);
  }

  /** Whether this process joined before another by the order of the log. */
  joinedBefore(process: string): boolean {
    const own = this.zone.joinedAt(this.self);
    const other = this.zone.joinedAt(process);
    return own !== undefined && other !== undefined && own < other;
  }
}
