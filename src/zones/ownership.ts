import type * as event from '../contracts/event.js';

/** A record of the stream `zone/<zone>`. */
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
      readonly to: string;
      readonly items: ReadonlyArray<ItemEpoch>;
    };

/** An item and the epoch that the writer of a record believed current. */
export interface ItemEpoch {
  readonly item: string;
  readonly epoch: number;
}

/** Owner of an item since `epoch` began at `offset` of the stream. */
export interface Ownership {
  readonly owner: string;
  readonly epoch: number;
  readonly offset: number;
}

/** A member of the zone by the records read. */
export interface JoinedMember {
  readonly process: string;
  readonly vm: string;
  readonly address: string;
}

/**
 * Owners of the zone's items by the order of the log's records. Every reader
 * of the same records holds the same table.
 */
export class OwnershipTable {
  private readonly owners = new Map<string, Ownership>();
  private readonly joined = new Map<string, JoinedMember>();

  /** Owner of an item; undefined when nobody has claimed it. */
  ownership(item: string): Ownership | undefined {
    return this.owners.get(item);
  }

  /** All owned items. */
  all(): ReadonlyMap<string, Ownership> {
    return this.owners;
  }

  /** Members that have joined and not left. */
  members(): ReadonlyMap<string, JoinedMember> {
    return this.joined;
  }

  /** Applies the next record; an unreadable one changes nothing. */
  apply(record: event.StreamRecord): void {
    const parsed = JSON.parse(record.data) as ZoneRecord;
    switch (parsed.kind) {
      case 'join':
        this.joined.set(parsed.process, {
          process: parsed.process,
          vm: parsed.vm,
          address: parsed.address,
        });
        return;
      case 'leave':
        this.joined.delete(parsed.process);
        return;
      case 'claim':
        this.assign(parsed.items, parsed.claimant, record.offset);
        return;
      case 'transfer':
        this.assign(parsed.items, parsed.to, record.offset);
        return;
    }
  }

  private assign(
    items: ReadonlyArray<ItemEpoch>,
    owner: string,
    offset: number,
  ): void {
    for (const item of items) {
      const current = this.owners.get(item.item)?.epoch ?? 0;
      if (current !== item.epoch) continue;
      this.owners.set(item.item, {owner, epoch: current + 1, offset});
    }
  }
}
