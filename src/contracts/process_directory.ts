import type * as clock from '../machines/clock.js';

/** Another entry process and where it listens for peers. */
export interface PeerProcess {
  readonly process: string;
  readonly address: string;
}

/** What this process knows of other entry processes. */
export interface ProcessDirectory {
  /** Whether this process is a member, so that it will be succeeded. */
  hasJoined(): boolean;
  /** The other members of the own zone that may be alive. */
  members(): ReadonlyArray<PeerProcess>;
  /** Members that take offers. */
  offerCandidates(): ReadonlyArray<PeerProcess>;
  /** Whether a process of the own zone has neither left nor been claimed. */
  isMember(process: string): boolean;
  /** Address of a process of the own zone that may be alive. */
  address(process: string): string | undefined;
  /** A process of another zone that knows what became of `process`. */
  relayFor(process: string): PeerProcess | undefined;
  /** Notes that an address gave no answer; another one relays next. */
  markUnreachable(address: string): void;
  /** Whether a process was succeeded and all its permits have ended. */
  hasSuccessor(process: string, now: clock.Milliseconds): boolean;
  /** Whether this process has been a member since before `process` joined. */
  joinedBefore(process: string): boolean;
}
