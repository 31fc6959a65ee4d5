import * as result from '../../src/result.js';
import type * as invariantChecker from './invariant_checker.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as simulatedEntryProcess from './simulated_entry_process.js';
import type * as fakeNetwork from './fake_network.js';
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
  lastReply: string;
}

/** What a client needs of its surroundings. */
export interface ClientEnvironment {
  readonly simulation: simulatedEntryProcess.Simulation;
  readonly checker: invariantChecker.InvariantChecker;
  readonly random: randomSource.RandomSource;
}

/** Time between a lost or unclear answer and the next try. */
const RETRY_DELAY_MS = 1_500;

/** Deadline of one call. */
const CALL_TIMEOUT_MS = 12_000;

/** How long one call lets the system wait for the end. */
const LONG_POLL_MS = 10_000;

/**
 * A client that sends requests to any entry process of its zone or another
 * one, loses answers, and asks again with the same identity.
 */
export class FakeClient implements fakeNetwork.Endpoint {
  readonly requests: ClientRequest[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly environment: ClientEnvironment,
  ) {}

  /** Sends one request and sees it through. */
  sendRequest(
    team: string,
    workload: string,
    payload: string,
    taskCount = 1,
  ): void {
    const request = {
      workload,
      payload,
      taskCount,
      identity: '',
      ended: false,
      code: -1,
      lastReply: 'no reply',
    };
    this.requests.push(request);
    this.reserveIdentity(team, request);
  }

  private reserveIdentity(team: string, request: ClientRequest): void {
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
          this.retryLater(() => this.reserveIdentity(team, request));
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
        waitMs: LONG_POLL_MS,
      }),
      reply => this.handleReply(team, request, reply),
    );
  }

  private handleReply(
    team: string,
    request: ClientRequest,
    reply: effect.Reply | undefined,
  ): void {
    if (reply === undefined) {
      this.retryLater(() => this.submit(team, request));
      return;
    }
    this.environment.checker.replyReceived(
      request,
      reply.code,
      reply.answer ?? '',
    );
    request.lastReply = `${reply.code} ${reply.state ?? ''} ${reply.detail ?? ''}`;
    const resultCode = Object.values(result.RESULT_CODES).find(
      known => known.code === reply.code,
    );
    const open =
      resultCode?.execution === 'pending' ||
      resultCode?.retry === 'sameIdentity';
    if (open) {
      this.retryLater(() => this.submit(team, request));
      return;
    }
    request.ended = true;
    request.code = reply.code;
  }

  private call(
    build: Parameters<
      simulatedEntryProcess.SimulatedEntryProcess['receive']
    >[0],
    answered: (reply: effect.Reply | undefined) => void,
  ): void {
    const {simulation, random} = this.environment;
    const hosts = [...simulation.hosts.values()];
    const near = hosts.filter(host => host.zone === this.zone);
    const choice = near.length > 0 && random.below(5) > 0 ? near : hosts;
    if (choice.length === 0) {
      this.retryLater(() => answered(undefined));
      return;
    }
    const host = choice[random.below(choice.length)];
    simulation.network.call<effect.Reply>(
      this,
      host,
      respond => host.receive(build, respond),
      answered,
      () => answered(undefined),
      CALL_TIMEOUT_MS,
    );
  }

  private retryLater(action: () => void): void {
    this.environment.simulation.time.after(RETRY_DELAY_MS, action);
  }
}
