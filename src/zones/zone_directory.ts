import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';
import type * as processDirectory from '../contracts/process_directory.js';
import type * as zoneControl from './zone_control.js';

/**
 * Other entry processes by the records of the own zone and, for other zones,
 * by the VM list.
 */
export class ZoneDirectory implements processDirectory.ProcessDirectory {
  private elsewhere: ReadonlyArray<event.ListedVm> = [];
  private listRead = false;
  /** Addresses that gave no answer since all of their zone did. */
  private readonly unreachable = new Set<string>();

  constructor(
    private readonly self: zoneControl.ProcessDescription,
    private readonly zone: zoneControl.ZoneControl,
  ) {}

  /** Takes the entry VMs of other zones from the VM list. */
  noteVms(vms: ReadonlyArray<event.ListedVm>): void {
    this.listRead = true;
    this.elsewhere = vms.filter(
      listed => listed.role === 'entry' && listed.zone !== this.self.zone,
    );
  }

  /** Whether the VM list has been read at all. */
  get hasVmList(): boolean {
    return this.listRead;
  }

  hasJoined(): boolean {
    const {process} = this.self;
    return this.zone.members().some(member => member.process === process);
  }

  members(): ReadonlyArray<processDirectory.Member> {
    return this.zone
      .members()
      .filter(member => member.process !== this.self.process)
      .filter(member => member.state !== 'dead');
  }

  offerTakers(): ReadonlyArray<processDirectory.Member> {
    return this.zone
      .members()
      .filter(member => member.process !== this.self.process)
      .filter(member => member.state === 'live');
  }

  isMember(process: string): boolean {
    return this.members().some(member => member.process === process);
  }

  address(process: string): string | undefined {
    const member = this.members().find(known => known.process === process);
    // A new process on the VM of a dead one listens at the same address.
    if (member?.address === this.self.address) return undefined;
    return member?.address ?? this.addressElsewhere(process);
  }

  noteUnreachable(address: string): void {
    this.unreachable.add(address);
  }

  isSucceeded(process: string, now: clock.Milliseconds): boolean {
    return this.zone.isSucceeded(process, now);
  }

  joinedBefore(process: string): boolean {
    return this.zone.joinedBefore(process);
  }

  /**
   * The VM of a process of another zone, or any entry VM of that zone: it
   * knows whether the process lives, and how to find out what it did.
   */
  private addressElsewhere(process: string): string | undefined {
    const inZone = this.elsewhere.filter(({zone}) =>
      process.startsWith(`${zone}.`),
    );
    // A process is named by its zone, its VM and a part of its own.
    const isHost = ({zone, vm}: event.ListedVm): boolean =>
      process.startsWith(`${zone}.${vm}.`);
    const ordered = [
      ...inZone.filter(isHost),
      ...inZone.filter(listed => !isHost(listed)),
    ];
    const reachable = ordered.find(
      ({address}) => !this.unreachable.has(address),
    );
    if (reachable !== undefined) return reachable.address;
    for (const {address} of ordered) this.unreachable.delete(address);
    return ordered[0]?.address;
  }
}
