import type * as event from '../contracts/event.js';
import type * as streamReplica from '../contracts/stream_replica.js';

/** Owner of an item that was released and not claimed since. */
export const NO_OWNER = '';

/**
 * Number of records after which a released item and an ended process are
 * removed. A delayed copy of a record must arrive before that, so the number is
 * far larger than what a zone appends in an hour.
 */
export const TOMBSTONE_RETENTION_RECORDS = 10_000;

/**
 * An item, which is a worker, a process or a replica, and its epoch as known to
 * the writer of a record.
 */
export interface ItemEpoch {
  readonly item: string;
  readonly epoch: number;
  /** Worker on which a replica runs; the replica moves with the worker. */
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
      /** Receiver, or `NO_OWNER` to release the items. */
      readonly to: string;
      readonly items: ReadonlyArray<ItemEpoch>;
    };

/** How an owner acquired an item; determines its wait before placing tasks. */
export type Acquisition =
  /** The item had no earlier owner. */
  | 'first'
  /** The earlier owner released the item before the record was written. */
  | 'handover'
  /** The item was claimed; the earlier owner may not know it yet. */
  | 'succession';

/** Owner of an item since `epoch` began at `offset` of the stream. */
export interface Ownership {
  readonly owner: string;
  readonly epoch: number;
  readonly offset: number;
  readonly acquisition: Acquisition;
  readonly on?: string;
}

/** A member of the zone according to the records read. */
export interface JoinedMember {
  readonly process: string;
  readonly vm: string;
  readonly address: string;
  /** Offset of the join record. */
  readonly joined: number;
}

/** A former member, and how and at which offset it ended. */
export interface EndedMember extends JoinedMember {
  readonly how: 'left' | 'claimed';
  readonly offset: number;
}

interface TableState {
  readonly owners: ReadonlyArray<readonly [string, Ownership]>;
  readonly joined: ReadonlyArray<readonly [string, JoinedMember]>;
  readonly ended: ReadonlyArray<readonly [string, EndedMember]>;
}

/** Returns the name of the item for a process and its request identities. */
export function processItem(process: string): string {
  return `process:${process}`;
}

/** Returns the name of the item of one replica of a service. */
export function replicaItem(
  team: string,
  workload: string,
  replica: number,
): string {
  return `replica:${team}/${workload}/${replica}`;
}

/** Returns whether an item is a worker; its name has no prefix. */
export function isWorker(item: string): boolean {
  return !item.startsWith('process:') && !item.startsWith('replica:');
}

/**
 * Owners of the zone's items as a function of the log's records, so that every
 * reader of the same records holds the same table. Repeated records change
 * nothing: epochs only increase, and an ended process never joins again.
 */
export class OwnershipTable implements streamReplica.ReplicatedState {
  private ownerships = new Map<string, Ownership>();
  private joinedMembers = new Map<string, JoinedMember>();
  private endedByProcess = new Map<string, EndedMember>();

  /** Returns the ownership of an item; undefined if it was never claimed. */
  ownership(item: string): Ownership | undefined {
    return this.ownerships.get(item);
  }

  /** Returns all items that have or had an owner. */
  ownershipByItem(): ReadonlyMap<string, Ownership> {
    return this.ownerships;
  }

  /** Returns the items of one owner with their epochs. */
  itemsOf(owner: string): ReadonlyArray<ItemEpoch> {
    const items: ItemEpoch[] = [];
    for (const [item, ownership] of this.ownerships) {
      if (ownership.owner === owner) items.push({item, epoch: ownership.epoch});
    }
    return items;
  }

  /** Returns the members that joined and neither left nor were claimed. */
  members(): ReadonlyMap<string, JoinedMember> {
    return this.joinedMembers;
  }

  /** Returns the members that left or were claimed. */
  endedMembers(): ReadonlyMap<string, EndedMember> {
    return this.endedByProcess;
  }

  /** Applies the next record; ignores one that cannot be parsed. */
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

  /** Serialises the whole table. */
  snapshot(): string {
    const state: TableState = {
      owners: [...this.ownerships],
      joined: [...this.joinedMembers],
      ended: [...this.endedByProcess],
    };
    return JSON.stringify(state);
  }

  /** Replaces the table by the result of an earlier `snapshot`. */
  restore(snapshot: string): void {
    const state = JSON.parse(snapshot) as TableState;
    this.ownerships = new Map(state.owners);
    this.joinedMembers = new Map(state.joined);
    this.endedByProcess = new Map(state.ended);
  }

  private join(
    record: Extract<ZoneRecord, {kind: 'join'}>,
    offset: number,
  ): void {
    const {process, vm, address} = record;
    this.pruneBefore(offset - TOMBSTONE_RETENTION_RECORDS);
    if (this.joinedMembers.has(process) || this.endedByProcess.has(process)) {
      return;
    }
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
    for (const item of this.itemsOf(process)) {
      this.assign(item, NO_OWNER, 'handover', offset);
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
    const worker = assignedItem.on ?? current?.on;
    this.ownerships.set(assignedItem.item, {
      owner,
      epoch: (current?.epoch ?? 0) + 1,
      offset,
      acquisition,
      ...(worker === undefined ? {} : {on: worker}),
    });
    if (!isWorker(assignedItem.item)) return;
    for (const [item, ownership] of this.ownerships) {
      if (ownership.on !== assignedItem.item || ownership.owner === NO_OWNER) {
        continue;
      }
      this.assign({item, epoch: ownership.epoch}, owner, acquisition, offset);
    }
  }

  private end(process: string, how: EndedMember['how'], offset: number): void {
    const member = this.joinedMembers.get(process);
    if (member === undefined) return;
    this.joinedMembers.delete(process);
    this.endedByProcess.set(process, {...member, how, offset});
  }

  private pruneBefore(offset: number): void {
    for (const [process, ended] of this.endedByProcess) {
      if (ended.offset >= offset) continue;
      this.endedByProcess.delete(process);
      this.ownerships.delete(processItem(process));
    }
    for (const [item, ownership] of this.ownerships) {
      if (ownership.owner === NO_OWNER && ownership.offset < offset) {
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
