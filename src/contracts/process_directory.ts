import type * as clock from '../machines/clock.js';

/** Another entry process and its address for peer calls. */
export interface PeerProcess {
  readonly process: string;
  readonly address: string;
}

/** Looks up other entry processes and their membership. */
export interface ProcessDirectory {
  /** Whether this process is a member, so that a successor can take over. */
  hasJoined(): boolean;
  /** Other members of this process's zone that may be alive. */
  members(): ReadonlyArray<PeerProcess>;
  /** Other members of the zone that accept offers. */
  offerCandidates(): ReadonlyArray<PeerProcess>;
  /** Whether a process of this zone has neither left nor been claimed. */
  isMember(process: string): boolean;
  /** Address of a process of this zone that may be alive. */
  address(process: string): string | undefined;
  /** Process of another zone that relays calls about `process` there. */
  relayFor(process: string): PeerProcess | undefined;
  /** Marks an address that did not answer, so that another one relays next. */
  markUnreachable(address: string): void;
  /** Whether a successor has taken over and all permits have ended. */
  hasSuccessor(process: string, now: clock.Milliseconds): boolean;
  /** Whether this process has been a member since before `process` joined. */
  joinedBefore(process: string): boolean;
}
