import type * as event from '../contracts/event.js';
import type * as streamReplica from '../contracts/stream_replica.js';

/** Owner of an item that was released and that nobody has claimed since. */
export const NO_OWNER = '';

/**
 * Records after which a released item and an ended process are forgotten. A
 * delayed copy of a record must arrive before that, so it is far larger than
 * what a zone appends in an hour.
 */
export const TOMBSTONE_RETENTION_RECORDS = 10_000;

/** An item and the epoch that the writer of a record believed current. */
export interface ItemEpoch {
  readonly item: string;
  readonly epoch: number;
  /** Worker on which a replica runs; the replica moves with it. */
  readonly on?: string;
}

/** A record of the stream `zone/<zone>`, apart from snapshots. */
export type ZoneRecord =
  | {
      readonly kind: 'join';
      readonly process: string;
      readonly vm: string;
      readonly address: string;
    }
  | {readonly kind: 'leave'; readonly process: string}
  | {
      readonly kind: 'claim';
      readonly claimant: string;
      readonly items: ReadonlyArray<ItemEpoch>;
    }
  | {
      readonly kind: 'transfer';
      readonly from: string;
      /** Receiver, or `NOBODY` to release the items. */
      readonly to: string;
      readonly items: ReadonlyArray<ItemEpoch>;
    };

/** How an owner came by an item; it decides how long the owner waits. */
export type Acquisition =
  /** Nobody had owned the item. */
  | 'first'
  /** The earlier owner gave it up before the record was written. */
  | 'handover'
  /** The earlier owner may not know yet. */
  | 'succession';

/** Owner of an item since `epoch` began at `offset` of the stream. */
export interface Ownership {
  readonly owner: string;
  readonly epoch: number;
  readonly offset: number;
  readonly acquisition: Acquisition;
  readonly on?: string;
}

/** A member of the zone by the records read. */
export interface JoinedMember {
  readonly process: string;
  readonly vm: string;
  readonly address: string;
  /** Offset of the join record. */
  readonly joined: number;
}

/** A former member, and how and where it ended by the records read. */
export interface EndedMember extends JoinedMember {
  readonly how: 'left' | 'claimed';
  readonly offset: number;
}

interface TableState {
  readonly owners: ReadonlyArray<readonly [string, Ownership]>;
  readonly joined: ReadonlyArray<readonly [string, JoinedMember]>;
  readonly ended: ReadonlyArray<readonly [string, EndedMember]>;
}

/** Name of the item that stands for a process and its identities. */
export function processItem(process: string): string {
  return `process:${process}`;
}

/** Name of the item of one replica of a service. */
export function replicaItem(
  team: string,
  workload: string,
  replica: number,
): string {
  return `replica:${team}/${workload}/${replica}`;
}

/** Whether an item is a worker, which is known by its bare name. */
export function isWorker(item: string): boolean {
  return !item.startsWith('process:') && !item.startsWith('replica:');
}

/**
 * Owners of the zone's items by the order of the log's records. Every reader
 * of the same records holds the same table. Copies of a record change
 * nothing: epochs only rise, and an ended process never joins again.
 */
export class OwnershipTable implements streamReplica.ReplicatedState {
  private owners = new Map<string, Ownership>();
  private joined = new Map<string, JoinedMember>();
  private endedProcesses = new Map<string, EndedMember>();

  /** Owner of an item; undefined when nobody has claimed it. */
  ownership(item: string): Ownership | undefined {
    return this.owners.get(item);
  }

  /** All items that have or had an owner. */
  ownershipByItem(): ReadonlyMap<string, Ownership> {
    return this.owners;
  }

  /** Items of one owner. */
  itemsOf(owner: string): ReadonlyArray<ItemEpoch> {
    const items: ItemEpoch[] = [];
    for (const [item, held] of this.owners) {
      if (held.owner === owner) items.push({item, epoch: held.epoch});
    }
    return items;
  }

  /** Members that have joined and neither left nor been claimed. */
  members(): ReadonlyMap<string, JoinedMember> {
    return this.joined;
  }

  /** Processes that left or were claimed. */
  endedMembers(): ReadonlyMap<string, EndedMember> {
    return this.endedProcesses;
  }

  /** Applies the next record; an unreadable one changes nothing. */
  apply(record: event.StreamRecord): void {
    const parsed = parseRecord(record);
    switch (parsed?.kind) {
      case 'join':
        return this.join(parsed, record.offset);
      case 'leave':
        return this.leave(parsed.process, record.offset);
      case 'claim':
        return this.claim(parsed, record.offset);
      case 'transfer':
        return this.transfer(parsed, record.offset);
    }
  }

  /** Returns the whole table as text. */
  snapshot(): string {
    const state: TableState = {
      owners: [...this.owners],
      joined: [...this.joined],
      ended: [...this.endedProcesses],
    };
    return JSON.stringify(state);
  }

  /** Replaces the table by one that `snapshot` returned. */
  restore(snapshot: string): void {
    const state = JSON.parse(snapshot) as TableState;
    this.owners = new Map(state.owners);
    this.joined = new Map(state.joined);
    this.endedProcesses = new Map(state.ended);
  }

  private join(
    record: Extract<ZoneRecord, {kind: 'join'}>,
    offset: number,
  ): void {
    const {process, vm, address} = record;
    this.pruneBefore(offset - TOMBSTONE_RETENTION_RECORDS);
    if (this.joined.has(process) || this.endedProcesses.has(process)) return;
    this.joined.set(process, {process, vm, address, joined: offset});
    this.owners.set(processItem(process), {
      owner: process,
      epoch: 1,
      offset,
      acquisition: 'first',
    });
  }

  private leave(process: string, offset: number): void {
    if (!this.joined.has(process)) return;
    this.end(process, 'left', offset);
    for (const held of this.itemsOf(process)) {
      this.assign(held, NO_OWNER, 'handover', offset);
    }
  }

  private claim(
    record: Extract<ZoneRecord, {kind: 'claim'}>,
    offset: number,
  ): void {
    // A claimant that has ended cannot use what it claims.
    if (!this.joined.has(record.claimant)) return;
    for (const wanted of record.items) {
      const current = this.owners.get(wanted.item);
      if ((current?.epoch ?? 0) !== wanted.epoch) continue;
      this.assign(wanted, record.claimant, acquisitionFrom(current), offset);
      const claimed = claimedProcess(wanted.item);
      if (claimed !== undefined) this.end(claimed, 'claimed', offset);
    }
  }

  private transfer(
    record: Extract<ZoneRecord, {kind: 'transfer'}>,
    offset: number,
  ): void {
    const to = this.joined.has(record.to) ? record.to : NO_OWNER;
    for (const given of record.items) {
      const current = this.owners.get(given.item);
      if (current?.epoch !== given.epoch) continue;
      if (current.owner !== record.from) continue;
      this.assign(given, to, 'handover', offset);
    }
  }

  private assign(
    given: ItemEpoch,
    owner: string,
    acquisition: Acquisition,
    offset: number,
  ): void {
    const current = this.owners.get(given.item);
    const on = given.on ?? current?.on;
    this.owners.set(given.item, {
      owner,
      epoch: (current?.epoch ?? 0) + 1,
      offset,
      acquisition,
      ...(on === undefined ? {} : {on}),
    });
    if (!isWorker(given.item)) return;
    for (const [item, held] of this.owners) {
      if (held.on !== given.item || held.owner === NO_OWNER) continue;
      this.assign({item, epoch: held.epoch}, owner, acquisition, offset);
    }
  }

  private end(process: string, how: EndedMember['how'], offset: number): void {
    const member = this.joined.get(process);
    if (member === undefined) return;
    this.joined.delete(process);
    this.endedProcesses.set(process, {...member, how, offset});
  }

  private pruneBefore(offset: number): void {
    for (const [process, ended] of this.endedProcesses) {
      if (ended.offset >= offset) continue;
      this.endedProcesses.delete(process);
      this.owners.delete(processItem(process));
    }
    for (const [item, held] of this.owners) {
      if (held.owner === NO_OWNER && held.offset < offset) {
        this.owners.delete(item);
      }
    }
  }
}

function acquisitionFrom(current: Ownership | undefined): Acquisition {
  if (current === undefined) return 'first';
  return current.owner === NO_OWNER ? 'handover' : 'succession';
}

function claimedProcess(item: string): string | undefined {
  return item.startsWith('process:')
    ? item.slice('process:'.length)
    : undefined;
}

function parseRecord(record: event.StreamRecord): ZoneRecord | undefined {
  try {
    return JSON.parse(record.data) as ZoneRecord;
  } catch {
    return undefined;
  }
}
