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
}

/** A member's claim to lead the cell, with its position in the log. */
export interface Claim {
  /** Offset in the log plus one, which is also the fencing token. */
  readonly term: number;
  readonly node: string;
  readonly incarnation: string;
  readonly address: string;
}

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
  /** Registers a member; resolves to true if the record was stored. */
  join(member: CellMember): Promise<boolean>;
  /** Returns whether the store answers this process at present. */
  probe(): Promise<boolean>;
  /** Claims the next term if the log ends at `expectedEnd`. */
  claim(member: CellMember, expectedEnd: number): Promise<ClaimOutcome>;
}
