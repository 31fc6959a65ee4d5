import * as clock from '../machines/clock.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as fleet from '../machines/fleet.js';
import * as ownership from './ownership.js';

/** How long a proof that nobody has claimed a worker lets its owner place. */
export const PERMIT_MS = 4_000;

/** Time between reads of the zone's stream. */
const READ_INTERVAL_MS = 1_000;

/** Time between reads of the VM list. */
const VM_LIST_INTERVAL_MS = 2_000;

/** Who this process is. */
export interface ProcessDescription {
  /** Unique to this incarnation of the process. */
  readonly process: string;
  readonly vm: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
}

/**
 * Authority of this process in its availability zone: which workers it owns,
 * and until when it may place on them.
 */
export class ZoneControl {
  private readonly table = new ownership.OwnershipTable();
  private readonly stream: string;
  private position = 0;
  private freshAt = -Infinity;
  private nextRead = 0;
  private nextVmList = 0;
  private appending = false;
  private appendNumber = 0;
  private joinSent = false;

  constructor(
    private readonly self: ProcessDescription,
    private readonly workers: fleet.Fleet,
  ) {
    this.stream = `zone/${self.zone}`;
  }

  /** End of the permit to place on a worker; -Infinity without one. */
  permitEnd(worker: string): clock.Milliseconds {
    if (!this.owns(worker)) return -Infinity;
    return this.freshAt + PERMIT_MS;
  }

  /** Whether this process is the owner of a worker by the records read. */
  owns(worker: string): boolean {
    const owner = this.table.ownership(worker)?.owner;
    return owner === this.self.process;
  }

  /** Handles the zone's records and the VM list; ignores other events. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effect.Effect> {
    switch (handled.kind) {
      case 'recordsRead':
        if (handled.stream !== this.stream) return [];
        return this.read(handled);
      case 'appendAnswered':
        if (handled.stream === this.stream) this.appending = false;
        return [];
      case 'vmListRead':
        this.updateFleet(handled.vms);
        return this.claimUnowned();
      case 'timePassed':
        return this.poll(now);
      default:
        return [];
    }
  }

  /** When `timePassed` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    return Math.min(this.nextRead, this.nextVmList);
  }

  private poll(now: clock.Milliseconds): ReadonlyArray<effect.Effect> {
    const effects: effect.Effect[] = [];
    if (now >= this.nextRead) {
      this.nextRead = now + READ_INTERVAL_MS;
      effects.push({
        kind: 'readStream',
        stream: this.stream,
        from: this.position,
      });
    }
    if (now >= this.nextVmList) {
      this.nextVmList = now + VM_LIST_INTERVAL_MS;
      effects.push({kind: 'readVmList'});
    }
    return effects;
  }

  private read(
    answer: Extract<event.Event, {kind: 'recordsRead'}>,
  ): ReadonlyArray<effect.Effect> {
    for (const record of answer.records) {
      if (record.offset < this.position) continue;
      this.table.apply(record);
      this.position = record.offset + 1;
    }
    if (this.position < answer.next) {
      this.nextRead = 0;
      return [];
    }
    this.freshAt = Math.max(this.freshAt, answer.sentAt);
    if (!this.joinSent) return this.join();
    return this.claimUnowned();
  }

  private join(): ReadonlyArray<effect.Effect> {
    this.joinSent = true;
    return this.append({
      kind: 'join',
      process: this.self.process,
      vm: this.self.vm,
      address: this.self.address,
    });
  }

  private updateFleet(vms: ReadonlyArray<event.ListedVm>): void {
    for (const listed of vms) {
      if (listed.role !== 'worker' || listed.zone !== this.self.zone) continue;
      const known = this.workers.ensure({
        name: listed.vm,
        zone: listed.zone,
        address: listed.address,
      });
      if (listed.state === 'leaving') known.markLeaving();
    }
  }

  private claimUnowned(): ReadonlyArray<effect.Effect> {
    if (this.appending) return [];
    const items = this.workers
      .all()
      .filter(known => this.table.ownership(known.name) === undefined)
      .map(known => ({item: known.name, epoch: 0}));
    if (items.length === 0) return [];
    return this.append({
      kind: 'claim',
      claimant: this.self.process,
      items,
    });
  }

  private append(record: ownership.ZoneRecord): ReadonlyArray<effect.Effect> {
    this.appending = true;
    this.appendNumber += 1;
    return [
      {
        kind: 'append',
        stream: this.stream,
        append: this.appendNumber,
        records: [JSON.stringify(record)],
      },
    ];
  }
}
