/** A process of the cell as it lists itself in the cell's log. */
export interface CellMember {
  readonly node: string;
  /** Drawn anew at each start of the process. */
  readonly incarnation: string;
  /** Where the others reach it. */
  readonly address: string;
  readonly zone: string;
  /** Processor share of its VM: the strongest schedule first. */
  readonly processors: number;
}

/** A member that claimed to schedule, and the position of its claim. */
export interface Claim {
  /** Offset in the log plus one: the fencing token. */
  readonly term: number;
  readonly node: string;
  readonly incarnation: string;
  readonly address: string;
}

/** What came of a claim. */
export type ClaimOutcome =
  | {readonly kind: 'won'; readonly term: number}
  /** Another record came first. */
  | {readonly kind: 'lost'}
  /** May take effect later; the log will show it. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Writes to the cell's log; no call rejects. */
export interface CellLog {
  /** Lists a member; true once it is stored. */
  join(member: CellMember): Promise<boolean>;
  /** Tells whether the store answers this process at present. */
  probe(): Promise<boolean>;
  /** Claims the next term if the log ends at `end`. */
  claim(member: CellMember, expectedEnd: number): Promise<ClaimOutcome>;
}
