import * as result from '../../src/result.js';
import type * as checker from './checker.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as entryHost from './entry_host.js';
import type * as network from './network.js';
import type * as randomSource from '../../src/machines/random_source.js';

/** Where a client's request stands, as the client knows. */
export interface ClientRequest {
  readonly workload: string;
  readonly payload: string;
  readonly taskCount: number;
  identity: string;
  ended: boolean;
  code: number;
  /** What the last reply said beside its code. */
  detail: string;
}

/** What a client needs of its surroundings. */
export interface ClientSurroundings {
  readonly around: entryHost.Surroundings;
  readonly checker: checker.Checker;
  readonly random: randomSource.RandomSource;
}

/** Time between a lost or unclear answer and the next try. */
const RETRY_MS = 1_500;

/** Deadline of one call. */
const CALL_DEADLINE_MS = 12_000;

/** How long one call lets the system wait for the end. */
const WAIT_MS = 10_000;

/**
 * A client that sends requests to any entry process of its zone or another
 * one, loses answers, and asks again with the same identity.
 */
export class FakeClient implements network.Place {
  readonly requests: ClientRequest[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly surroundings: ClientSurroundings,
  ) {}

  /** Sends one request and sees it through. */
  begin(team: string, workload: string, payload: string, taskCount = 1): void {
    const request = {
      workload,
      payload,
      taskCount,
      identity: '',
      ended: false,
      code: -1,
      detail: 'no reply',
    };
    this.requests.push(request);
    this.reserve(team, request);
  }

  private reserve(team: string, request: ClientRequest): void {
    this.call(
      call => ({
        kind: 'identitiesArrived',
        call,
        client: this.name,
        count: 1,
      }),
      reply => {
        const identity = reply?.identities?.[0];
        if (identity === undefined) {
          this.later(() => this.reserve(team, request));
          return;
        }
        request.identity = identity;
        this.submit(team, request);
      },
    );
  }

  private submit(team: string, request: ClientRequest): void {
    this.call(
      call => ({
        kind: 'requestArrived',
        call,
        client: this.name,
        identity: request.identity,
        submission: {
          team,
          workload: request.workload,
          payload: request.payload,
        },
        waitMs: WAIT_MS,
      }),
      reply => this.replied(team, request, reply),
    );
  }

  private replied(
    team: string,
    request: ClientRequest,
    reply: effect.Reply | undefined,
  ): void {
    if (reply === undefined) {
      this.later(() => this.submit(team, request));
      return;
    }
    this.surroundings.checker.told(request, reply.code, reply.answer ?? '');
    request.detail = `${reply.code} ${reply.state ?? ''} ${reply.detail ?? ''}`;
    const row = Object.values(result.RESULT_CODES).find(
      known => known.code === reply.code,
    );
    const open = row?.execution === 'pending' || row?.retry === 'sameIdentity';
    if (open) {
      this.later(() => this.submit(team, request));
      return;
    }
    request.ended = true;
    request.code = reply.code;
  }

  private call(
    build: Parameters<entryHost.EntryHost['receive']>[0],
    answered: (reply: effect.Reply | undefined) => void,
  ): void {
    const {around, random} = this.surroundings;
    const hosts = [...around.hosts.values()];
    const near = hosts.filter(host => host.zone === this.zone);
    const choice = near.length > 0 && random.below(5) > 0 ? near : hosts;
    if (choice.length === 0) {
      this.later(() => answered(undefined));
      return;
    }
    const host = choice[random.below(choice.length)];
    around.network.call<effect.Reply>(
      this,
      host,
      respond => host.receive(build, respond),
      answered,
      () => answered(undefined),
      CALL_DEADLINE_MS,
    );
  }

  private later(action: () => void): void {
    this.surroundings.around.time.after(RETRY_MS, action);
  }
}
