import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';
import type * as processDirectory from '../contracts/process_directory.js';
import type * as zoneController from './zone_controller.js';

/**
 * Directory of the other entry processes: those of its own zone by the records
 * of that zone, and those of other zones by the VM list.
 */
export class ZoneDirectory implements processDirectory.ProcessDirectory {
  private otherZoneVms: ReadonlyArray<event.ListedVm> = [];
  private vmListRead = false;
  /** Addresses in other zones that did not answer; cleared when none did. */
  private readonly unreachableAddresses = new Set<string>();

  constructor(
    private readonly self: zoneController.ProcessDescription,
    private readonly controller: zoneController.ZoneController,
  ) {}

  /** Updates the entry VMs of other zones from the VM list. */
  updateVms(vms: ReadonlyArray<event.ListedVm>): void {
    this.vmListRead = true;
    this.otherZoneVms = vms.filter(
      listed => listed.role === 'entry' && listed.zone !== this.self.zone,
    );
  }

  /** Whether the VM list has been read at least once. */
  get hasVmList(): boolean {
    return this.vmListRead;
  }

  hasJoined(): boolean {
    const {process} = this.self;
    return this.controller.members().some(member => member.process === process);
  }

  members(): ReadonlyArray<processDirectory.PeerProcess> {
    return this.controller
      .members()
      .filter(member => member.process !== this.self.process)
      .filter(member => member.state !== 'dead');
  }

  offerCandidates(): ReadonlyArray<processDirectory.PeerProcess> {
    return this.controller
      .members()
      .filter(member => member.process !== this.self.process)
      .filter(member => member.state === 'live');
  }

  isMember(process: string): boolean {
    return this.members().some(member => member.process === process);
  }

  address(process: string): string | undefined {
    return this.members().find(member => member.process === process)?.address;
  }

  /**
   * Chooses the entry VM that relays a call to a process of another zone. The
   * name of a process consists of zone, VM and an incarnation. Any process of
   * its zone forwards a call, or recovers the outcome if the process is dead.
   */
  relayFor(process: string): processDirectory.PeerProcess | undefined {
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

  markUnreachable(address: string): void {
    this.unreachableAddresses.add(address);
  }

  hasSuccessor(process: string, now: clock.Milliseconds): boolean {
    return this.controller.hasSuccessor(process, now);
  }

  joinedBefore(process: string): boolean {
    return this.controller.joinedBefore(process);
  }

  /**
   * Returns the first VM that is not known to be unreachable. If all are, their
   * addresses are tried again.
   */
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
