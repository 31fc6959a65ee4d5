import type * as clock from '../machines/clock.js';

/** Another entry process and its address for peer calls. */
export interface PeerProcess {
  readonly process: string;
  readonly address: string;
}

/** Looks up other entry processes and their membership. */
export interface ProcessDirectory {
  /** Returns whether this process is a member, so that it can be replaced. */
  hasJoined(): boolean;
  /** Returns the other members of this zone that may be alive. */
  members(): ReadonlyArray<PeerProcess>;
  /** Returns the other members of this zone that accept offers. */
  offerCandidates(): ReadonlyArray<PeerProcess>;
  /** Returns whether a process of this zone neither left nor was claimed. */
  isMember(process: string): boolean;
  /** Returns the address of a process of this zone that may be alive. */
  address(process: string): string | undefined;
  /** Returns the process that relays calls for `process` of another zone. */
  relayFor(process: string): PeerProcess | undefined;
  /** Marks an address that did not answer, so that another one relays next. */
  markUnreachable(address: string): void;
  /** Returns whether a successor has taken over and all permits have ended. */
  hasSuccessor(process: string, now: clock.Milliseconds): boolean;
  /** Returns whether this process joined the zone before `process` did. */
  joinedBefore(process: string): boolean;
}
