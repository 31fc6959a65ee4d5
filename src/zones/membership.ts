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

/** What is known of a member by what it sends and by the VM list. */
export type MemberState = 'live' | 'suspect' | 'leaving' | 'dead';

/** A member of the zone as others need it. */
export interface ZoneMember {
  readonly process: string;
  readonly vm: string;
  readonly address: string;
  readonly state: MemberState;
  /** Whether it is known to count this process as a member. */
  readonly knowsSelf: boolean;
}

interface Contact {
  /** When it first appeared or last sent something. */
  readonly lastMessageAt: clock.Milliseconds;
  /** Whether it ever sent something. */
  readonly hasSentMessage: boolean;
  /** Whether it ever asked for a confirmation: it knows this process. */
  readonly hasRequestedConfirmation: boolean;
  readonly leaving: boolean;
  /** When the last request that it confirmed was sent. */
  readonly confirmedSentAt: clock.Milliseconds;
  /** When its last positive confirmation arrived. */
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

/** The members of the zone: who they are, and what each was last heard to say. */
export class Membership {
  private readonly contacts = new Map<string, Contact>();

  constructor(
    private readonly self: string,
    private readonly table: ownership.OwnershipTable,
    private readonly presence: vmPresence.VmPresence,
  ) {}

  /** Follows the table: starts to watch new members and drops ended ones. */
  syncWithTable(now: clock.Milliseconds): void {
    for (const process of this.table.members().keys()) {
      if (this.contacts.get(process)?.lastMessageAt !== undefined) continue;
      this.contacts.set(process, {...NO_CONTACT, lastMessageAt: now});
    }
    for (const process of this.contacts.keys()) {
      if (!this.table.members().has(process)) this.contacts.delete(process);
    }
  }

  /** Starts to count silence anew, after this process was paused itself. */
  resetSilence(now: clock.Milliseconds): void {
    for (const [process, contact] of this.contacts) {
      this.contacts.set(process, {...contact, lastMessageAt: now});
    }
  }

  /** Notes that a member sent something. */
  recordMessage(
    news: event.PeerNews,
    asked: boolean,
    now: clock.Milliseconds,
  ): void {
    const contact = this.contacts.get(news.from);
    if (contact === undefined) return;
    this.contacts.set(news.from, {
      ...contact,
      lastMessageAt: now,
      hasSentMessage: true,
      hasRequestedConfirmation: contact.hasRequestedConfirmation || asked,
      leaving: contact.leaving || news.leaving,
    });
  }

  /** Notes a positive confirmation of a request sent at `sentAt`. */
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

  /** Members other than this process. */
  others(): ReadonlyArray<ownership.JoinedMember> {
    return [...this.table.members().values()].filter(
      member => member.process !== this.self,
    );
  }

  /** All members with their states, this process included. */
  allWithStates(now: clock.Milliseconds): ReadonlyArray<ZoneMember> {
    return [...this.table.members().values()].map(({process, vm, address}) => ({
      process,
      vm,
      address,
      state: this.state(process, now),
      knowsSelf: process === this.self || this.knowsSelf(process),
    }));
  }

  /** State of a process; one that is no member is dead. */
  state(process: string, now: clock.Milliseconds): MemberState {
    const member = this.table.members().get(process);
    if (member === undefined) return 'dead';
    if (process === this.self) return 'live';
    if (this.isVmGone(member)) return 'dead';
    const contact = this.contacts.get(process) ?? NO_CONTACT;
    if (now - contact.lastMessageAt > SUSPECT_SILENCE_MS) return 'suspect';
    return contact.leaving ? 'leaving' : 'live';
  }

  /** Members that take work, lowest identity first; includes this process. */
  liveMembers(now: clock.Milliseconds): ReadonlyArray<string> {
    return [...this.table.members().keys()]
      .filter(process => this.state(process, now) === 'live')
      .filter(
        process =>
          process === this.self || this.contact(process).hasSentMessage,
      )
      .sort();
  }

  /** Whether a member has been silent long enough to be claimed. */
  isSilent(process: string, now: clock.Milliseconds): boolean {
    return now - this.contact(process).lastMessageAt > CLAIMABLE_SILENCE_MS;
  }

  /** Whether a member is known to count this process as a member. */
  knowsSelf(process: string): boolean {
    return this.contact(process).hasRequestedConfirmation;
  }

  /** What a member last confirmed. */
  contact(process: string): Contact {
    return this.contacts.get(process) ?? NO_CONTACT;
  }

  /** Whether the VM list proves that a member does not exist any more. */
  isVmGone(member: ownership.JoinedMember): boolean {
    const own = this.table.members().get(this.self);
    const older = own !== undefined && member.joined < own.joined;
    return older
      ? this.presence.isGoneOrNeverListed(member.vm)
      : this.presence.isGone(member.vm);
  }

  /**
   * Whether a later process joined from the same address: only one process
   * can listen there, so the earlier one has ended.
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
