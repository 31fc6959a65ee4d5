import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';
import type * as processDirectory from '../contracts/process_directory.js';
import type * as zoneController from './zone_controller.js';

/**
 * Other entry processes by the records of the own zone and, for other zones,
 * by the VM list.
 */
export class ZoneDirectory implements processDirectory.ProcessDirectory {
  private otherZoneVms: ReadonlyArray<event.ListedVm> = [];
  private vmListRead = false;
  /** Addresses of other zones that gave no answer since others did. */
  private readonly unreachableAddresses = new Set<string>();

  constructor(
    private readonly self: zoneController.ProcessDescription,
    private readonly zone: zoneController.ZoneController,
  ) {}

  /** Takes the entry VMs of other zones from the VM list. */
  updateVms(vms: ReadonlyArray<event.ListedVm>): void {
    this.vmListRead = true;
    this.otherZoneVms = vms.filter(
      listed => listed.role === 'entry' && listed.zone !== this.self.zone,
    );
  }

  /** Whether the VM list has been read at all. */
  get hasVmList(): boolean {
    return this.vmListRead;
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
    return this.members().find(known => known.process === process)?.address;
  }

  /**
   * A process is named by its zone, its VM and a part of its own. Any process
   * of its zone passes a call on, or recovers the outcome if it is dead.
   */
  relay(process: string): processDirectory.Member | undefined {
    const zoneVms = this.otherZoneVms.filter(
      ({zone, state}) => state === 'live' && process.startsWith(`${zone}.`),
    );
    const isNamedVm = ({zone, vm}: event.ListedVm): boolean =>
      process.startsWith(`${zone}.${vm}.`);
    const ordered = [
      ...zoneVms.filter(isNamedVm),
      ...zoneVms.filter(listed => !isNamedVm(listed)),
    ];
    const chosen = this.firstReachable(ordered);
    return chosen && {process: chosen.vm, address: chosen.address};
  }

  noteUnreachable(address: string): void {
    this.unreachableAddresses.add(address);
  }

  isSucceeded(process: string, now: clock.Milliseconds): boolean {
    return this.zone.permitsHaveExpired(process, now);
  }

  joinedBefore(process: string): boolean {
    return this.zone.joinedBefore(process);
  }

  /** Begins anew when none of them answered. */
  private firstReachable(
    ordered: ReadonlyArray<event.ListedVm>,
  ): event.ListedVm | undefined {
    const reachable = ordered.find(
      ({address}) => !this.unreachableAddresses.has(address),
    );
    if (reachable !== undefined) return reachable;
    for (const {address} of ordered) this.unreachableAddresses.delete(address);
    return ordered.at(0);
  }
}
