import type * as clock from '../machines/clock.js';

/** Another entry process and where it listens for peers. */
export interface Member {
  readonly process: string;
  readonly address: string;
}

/** What this process knows of other entry processes. */
export interface ProcessDirectory {
  /** The other members of the own zone. */
  members(): ReadonlyArray<Member>;
  /** Address of a process that is known and live. */
  liveAddress(process: string, now: clock.Milliseconds): string | undefined;
  /** Whether a process was succeeded and all its permits have ended. */
  isSucceeded(process: string, now: clock.Milliseconds): boolean;
  /** Whether this process has been a member since before `process` joined. */
  joinedBefore(process: string): boolean;
}

/** The directory of a process that knows no other. */
export class EmptyDirectory implements ProcessDirectory {
  members(): ReadonlyArray<Member> {
    return [];
  }

  liveAddress(): string | undefined {
    return undefined;
  }

  isSucceeded(): boolean {
    return false;
  }

  joinedBefore(): boolean {
    return false;
  }
}
