import * as vmPresence from './vm_presence.js';
import type * as clock from '../machines/clock.js';
import type * as event from '../contracts/event.js';
import type * as ownership from './ownership.js';

/** Time between confirmations to each member. */
export const CONFIRM_INTERVAL_MS = 1_000;

/** Silence after which a member is suspect and gets no offers. */
export const SUSPECT_SILENCE_MS = 3_000;

/** Silence after which a member's items may be claimed. */
export const CLAIMABLE_SILENCE_MS = 4_000;

/** State of a member by its messages and the VM list. */
export type MemberState = 'live' | 'suspect' | 'leaving' | 'dead';

/** A member of the zone with its address and state. */
export interface ZoneMember {
  readonly process: string;
  readonly vm: string;
  readonly address: string;
  readonly state: MemberState;
  /** Whether the member is known to count this process as a member. */
  readonly knowsSelf: boolean;
}

interface Contact {
  /** When the member first appeared or last sent a message. */
  readonly lastMessageAt: clock.Milliseconds;
  /** Whether the member ever sent a message. */
  readonly hasSentMessage: boolean;
  /** Whether the member ever asked this process for a confirmation. */
  readonly hasRequestedConfirmation: boolean;
  readonly leaving: boolean;
  /** When the last request that the member confirmed was sent. */
  readonly confirmedSentAt: clock.Milliseconds;
  /** When the member's last positive confirmation arrived. */
  readonly confirmedAt: clock.Milliseconds;
}

const NO_CONTACT: Contact = {
  lastMessageAt: -Infinity,
  hasSentMessage: false,
  hasRequestedConfirmation: false,
  leaving: false,
  confirmedSentAt: -Infinity,
  confirmedAt: -Infinity,
};

/** The members of the zone, with the last message of each. */
export class Membership {
  private readonly contacts = new Map<string, Contact>();

  constructor(
    private readonly self: string,
    private readonly table: ownership.OwnershipTable,
    private readonly presence: vmPresence.VmPresence,
  ) {}

  /** Adds members that joined and removes members that ended. */
  syncWithTable(now: clock.Milliseconds): void {
    for (const process of this.table.members().keys()) {
      if (this.contacts.get(process)?.lastMessageAt !== undefined) continue;
      this.contacts.set(process, {...NO_CONTACT, lastMessageAt: now});
    }
    for (const process of this.contacts.keys()) {
      if (!this.table.members().has(process)) this.contacts.delete(process);
    }
  }

  /** Restarts the measurement of silence after this process was paused. */
  resetSilence(now: clock.Milliseconds): void {
    for (const [process, contact] of this.contacts) {
      this.contacts.set(process, {...contact, lastMessageAt: now});
    }
  }

  /** Records that a member sent a message. */
  recordMessage(
    status: event.PeerStatus,
    requestedConfirmation: boolean,
    now: clock.Milliseconds,
  ): void {
    const contact = this.contacts.get(status.from);
    if (contact === undefined) return;
    this.contacts.set(status.from, {
      ...contact,
      lastMessageAt: now,
      hasSentMessage: true,
      hasRequestedConfirmation:
        contact.hasRequestedConfirmation || requestedConfirmation,
      leaving: contact.leaving || status.leaving,
    });
  }

  /** Records a positive confirmation of a request sent at `sentAt`. */
  recordConfirmation(
    process: string,
    sentAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    const contact = this.contacts.get(process);
    if (contact === undefined) return;
    this.contacts.set(process, {
      ...contact,
      confirmedSentAt: Math.max(contact.confirmedSentAt, sentAt),
      confirmedAt: now,
    });
  }

  /** Returns the members other than this process. */
  others(): ReadonlyArray<ownership.JoinedMember> {
    return [...this.table.members().values()].filter(
      member => member.process !== this.self,
    );
  }

  /** Returns all members with their states, this process included. */
  allWithStates(now: clock.Milliseconds): ReadonlyArray<ZoneMember> {
    return [...this.table.members().values()].map(({process, vm, address}) => ({
      process,
      vm,
      address,
      state: this.state(process, now),
      knowsSelf: process === this.self || this.knowsSelf(process),
    }));
  }

  /** Returns the state of a process; one that is not a member is dead. */
  state(process: string, now: clock.Milliseconds): MemberState {
    const member = this.table.members().get(process);
    if (member === undefined) return 'dead';
    if (process === this.self) return 'live';
    if (this.isVmGone(member)) return 'dead';
    const contact = this.contacts.get(process) ?? NO_CONTACT;
    if (now - contact.lastMessageAt > SUSPECT_SILENCE_MS) return 'suspect';
    return contact.leaving ? 'leaving' : 'live';
  }

  /** Returns the members that take work, sorted, including this process. */
  liveMembers(now: clock.Milliseconds): ReadonlyArray<string> {
    return [...this.table.members().keys()]
      .filter(process => this.state(process, now) === 'live')
      .filter(
        process =>
          process === this.self || this.contact(process).hasSentMessage,
      )
      .sort();
  }

  /** Returns whether a member has been silent long enough to be claimed. */
  isSilent(process: string, now: clock.Milliseconds): boolean {
    return now - this.contact(process).lastMessageAt > CLAIMABLE_SILENCE_MS;
  }

  /** Returns whether a member is known to count this process as a member. */
  knowsSelf(process: string): boolean {
    return this.contact(process).hasRequestedConfirmation;
  }

  /** Returns the last messages and confirmations of a member. */
  contact(process: string): Contact {
    return this.contacts.get(process) ?? NO_CONTACT;
  }

  /** Returns whether the VM list proves that a member's VM is gone. */
  isVmGone(member: ownership.JoinedMember): boolean {
    const own = this.table.members().get(this.self);
    const joinedEarlier = own !== undefined && member.joined < own.joined;
    return joinedEarlier
      ? this.presence.isGoneOrNeverListed(member.vm)
      : this.presence.isGone(member.vm);
  }

  /**
   * Returns whether a later process joined from the same address. Only one
   * process can listen there, so the earlier one has ended.
   */
  isReplaced(member: ownership.JoinedMember): boolean {
    if (member.address.endsWith(':0')) return false;
    const {table} = this;
    return [...table.members().values(), ...table.endedMembers().values()].some(
      later =>
        later.vm === member.vm &&
        later.address === member.address &&
        later.joined > member.joined,
    );
  }
}
