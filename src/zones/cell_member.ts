/** A process of the cell, as it registers itself in the cell's log. */
export interface CellMember {
  readonly node: string;
  /** Random value generated at each start of the process. */
  readonly incarnation: string;
  /** HOST:PORT for calls from other members. */
  readonly address: string;
  readonly zone: string;
  /** Processor share of its VM; the largest members claim first. */
  readonly processors: number;
  /** Offset at which a process at the address first registered, if known. */
  readonly firstOffset?: number;
  /** Whether it heeds the exempt members that leaders' records name. */
  readonly heedsExemptions?: boolean;
  /** Whether it heeds the witnesses that leaders' records name. */
  readonly heedsWitnesses?: boolean;
}

/** A member's claim to lead the cell, with its position in the log. */
export interface Claim {
  /** Offset in the log plus one, which is also the fencing token. */
  readonly term: number;
  readonly node: string;
  readonly incarnation: string;
  readonly address: string;
}

/** Record by which the leader shows all members that it makes progress. */
export interface LeaderProgress {
  readonly term: number;
  /** Whether the leader has taken over and serves jobs. */
  readonly leading: boolean;
  readonly resigning: boolean;
  /** Rises with each completed step of the takeover and each part of one. */
  readonly takeoverStep: number;
  /** Whether the leader has lately heard a majority of the members. */
  readonly hearsMajority: boolean;
  /** As in `Grantors`; undefined once no earlier leader may act. */
  readonly grantorEnd?: number;
  /** As in `Grantors`; undefined if there are none. */
  readonly exempt?: ReadonlyArray<string>;
  /** Ids of the workers that are witnesses from now on, if they change. */
  readonly witnesses?: ReadonlyArray<string>;
  /** Addresses of members that are dropped from the log; none if undefined. */
  readonly departed?: ReadonlyArray<string>;
}

/**
 * Members that are known to, and needed by, the writer of a record and every
 * earlier leader that could still act when it was written.
 */
export interface Grantors {
  /** They registered before this offset. */
  readonly grantorEnd: number;
  /** Addresses of members that registered before it and are not needed. */
  readonly exempt: ReadonlyArray<string>;
}

/** A claim or a progress record of a leader. */
export interface LeaderRecord extends Grantors {
  /** Its position in the log; its writer had read all that precedes it. */
  readonly offset: number;
}

/** Content of the cell's log, or of its new records. */
export interface CellLogContent {
  readonly members: ReadonlyArray<CellMember>;
  /** Newest claim. */
  readonly claim: Claim | undefined;
  /** Newest progress record; undefined in a snapshot, where it may be old. */
  readonly progress: LeaderProgress | undefined;
  /** Offsets of the members' registrations, by their addresses. */
  readonly memberOffsets: ReadonlyMap<string, number>;
  /** Newest claim or progress record, also if the latter may be old. */
  readonly leaderRecord: LeaderRecord | undefined;
  /** Newest list of witnesses; undefined if the content has none. */
  readonly witnesses?: ReadonlyArray<string>;
  /** Addresses of members that were dropped and have not registered since. */
  readonly departed?: ReadonlyArray<string>;
  /** Whether members that are not among `members` have left. */
  readonly isComplete?: boolean;
}

/** Outcome of an attempt to write a progress record. */
export type ProgressOutcome =
  | {readonly kind: 'stored'; readonly end: number}
  /** The log holds other records, which were read up to `end`. */
  | {
      readonly kind: 'outdated';
      readonly content: CellLogContent;
      readonly end: number;
    }
  /** May be written later, if no other record precedes it. */
  | {readonly kind: 'unavailable'};

/** Outcome of an attempt to claim the next term. */
export type ClaimOutcome =
  | {readonly kind: 'won'; readonly term: number}
  /** Another record was appended first. */
  | {readonly kind: 'lost'}
  /** The log has not taken the claim; it may be repeated. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** May take effect later; a read of the log will then show it. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Writes to the cell's log; no call rejects. */
export interface CellLog {
  /**
   * Registers a member; resolves to true if the record was stored. If
   * `firstOffset` is known, the log has to end at `expectedEnd`: the member may
   * have been dropped since.
   */
  join(
    member: CellMember,
    firstOffset: number | undefined,
    expectedEnd: number,
  ): Promise<boolean>;
  /** Returns whether the store answers this process at present. */
  probe(): Promise<boolean>;
  /**
   * Claims the next term if the log ends at `expectedEnd`. `grantors` are those
   * of the last leader's record; undefined if there was no leader.
   */
  claim(
    member: CellMember,
    expectedEnd: number,
    grantors: Grantors | undefined,
  ): Promise<ClaimOutcome>;
  /** Writes the leader's progress if the log ends at `expectedEnd`. */
  reportProgress(
    progress: LeaderProgress,
    expectedEnd: number,
    timeoutMs: number,
  ): Promise<ProgressOutcome>;
}
