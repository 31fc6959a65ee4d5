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
  private ownerships = new Map<string, Ownership>();
  private joinedMembers = new Map<string, JoinedMember>();
  private endedById = new Map<string, EndedMember>();

  /** Owner of an item; undefined when nobody has claimed it. */
  ownership(item: string): Ownership | undefined {
    return this.ownerships.get(item);
  }

  /** All items that have or had an owner. */
  ownershipByItem(): ReadonlyMap<string, Ownership> {
    return this.ownerships;
  }

  /** Items of one owner. */
  itemsOf(owner: string): ReadonlyArray<ItemEpoch> {
    const items: ItemEpoch[] = [];
    for (const [item, held] of this.ownerships) {
      if (held.owner === owner) items.push({item, epoch: held.epoch});
    }
    return items;
  }

  /** Members that have joined and neither left nor been claimed. */
  members(): ReadonlyMap<string, JoinedMember> {
    return this.joinedMembers;
  }

  /** Processes that left or were claimed. */
  endedMembers(): ReadonlyMap<string, EndedMember> {
    return this.endedById;
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
      owners: [...this.ownerships],
      joined: [...this.joinedMembers],
      ended: [...this.endedById],
    };
    return JSON.stringify(state);
  }

  /** Replaces the table by one that `snapshot` returned. */
  restore(snapshot: string): void {
    const state = JSON.parse(snapshot) as TableState;
    this.ownerships = new Map(state.owners);
    this.joinedMembers = new Map(state.joined);
    this.endedById = new Map(state.ended);
  }

  private join(
    record: Extract<ZoneRecord, {kind: 'join'}>,
    offset: number,
  ): void {
    const {process, vm, address} = record;
    this.pruneBefore(offset - TOMBSTONE_RETENTION_RECORDS);
    if (this.joinedMembers.has(process) || this.endedById.has(process)) return;
    this.joinedMembers.set(process, {process, vm, address, joined: offset});
    this.ownerships.set(processItem(process), {
      owner: process,
      epoch: 1,
      offset,
      acquisition: 'first',
    });
  }

  private leave(process: string, offset: number): void {
    if (!this.joinedMembers.has(process)) return;
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
    if (!this.joinedMembers.has(record.claimant)) return;
    for (const claimedItem of record.items) {
      const current = this.ownerships.get(claimedItem.item);
      if ((current?.epoch ?? 0) !== claimedItem.epoch) continue;
      this.assign(
        claimedItem,
        record.claimant,
        acquisitionFrom(current),
        offset,
      );
      const claimed = processOfItem(claimedItem.item);
      if (claimed !== undefined) this.end(claimed, 'claimed', offset);
    }
  }

  private transfer(
    record: Extract<ZoneRecord, {kind: 'transfer'}>,
    offset: number,
  ): void {
    const to = this.joinedMembers.has(record.to) ? record.to : NO_OWNER;
    for (const transferredItem of record.items) {
      const current = this.ownerships.get(transferredItem.item);
      if (current?.epoch !== transferredItem.epoch) continue;
      if (current.owner !== record.from) continue;
      this.assign(transferredItem, to, 'handover', offset);
    }
  }

  private assign(
    assignedItem: ItemEpoch,
    owner: string,
    acquisition: Acquisition,
    offset: number,
  ): void {
    const current = this.ownerships.get(assignedItem.item);
    const on = assignedItem.on ?? current?.on;
    this.ownerships.set(assignedItem.item, {
      owner,
      epoch: (current?.epoch ?? 0) + 1,
      offset,
      acquisition,
      ...(on === undefined ? {} : {on}),
    });
    if (!isWorker(assignedItem.item)) return;
    for (const [item, held] of this.ownerships) {
      if (held.on !== assignedItem.item || held.owner === NO_OWNER) continue;
      this.assign({item, epoch: held.epoch}, owner, acquisition, offset);
    }
  }

  private end(process: string, how: EndedMember['how'], offset: number): void {
    const member = this.joinedMembers.get(process);
    if (member === undefined) return;
    this.joinedMembers.delete(process);
    this.endedById.set(process, {...member, how, offset});
  }

  private pruneBefore(offset: number): void {
    for (const [process, ended] of this.endedById) {
      if (ended.offset >= offset) continue;
      this.endedById.delete(process);
      this.ownerships.delete(processItem(process));
    }
    for (const [item, held] of this.ownerships) {
      if (held.owner === NO_OWNER && held.offset < offset) {
        this.ownerships.delete(item);
      }
    }
  }
}

function acquisitionFrom(current: Ownership | undefined): Acquisition {
  if (current === undefined) return 'first';
  return current.owner === NO_OWNER ? 'handover' : 'succession';
}

function processOfItem(item: string): string | undefined {
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
