import * as result from '../../src/result.js';
import type * as requestInvariantChecker from './request_invariant_checker.js';
import type * as effect from '../../src/contracts/effect.js';
import type * as simulatedEntryProcess from './simulated_entry_process.js';
import type * as fakeNetwork from './fake_network.js';
import type * as randomSource from '../../src/machines/random_source.js';

/** State of a request as its client knows it. */
export interface ClientRequest {
  readonly workload: string;
  readonly payload: string;
  readonly taskCount: number;
  identity: string;
  ended: boolean;
  code: number;
  /** Code, state and detail of the last reply. */
  lastReply: string;
}

/** Simulation, checker and random source of a client. */
export interface ClientEnvironment {
  readonly simulation: simulatedEntryProcess.Simulation;
  readonly checker: requestInvariantChecker.RequestInvariantChecker;
  readonly random: randomSource.RandomSource;
}

/** Delay before a call is repeated whose reply was lost or not final. */
const RETRY_DELAY_MS = 1_500;

/** Time after which a client treats a call as lost. */
const CALL_TIMEOUT_MS = 12_000;

/** Time for which a call may wait for the end of the request. */
const LONG_POLL_MS = 10_000;

/**
 * Client that sends requests to entry processes, mostly of its own zone, and
 * repeats a call under the same identity until the reply is final.
 */
export class FakeClient implements fakeNetwork.NetworkEndpoint {
  readonly requests: ClientRequest[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly environment: ClientEnvironment,
  ) {}

  /** Sends one request and repeats calls until its reply is final. */
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
    const pending =
      resultCode?.execution === 'pending' ||
      resultCode?.retry === 'sameIdentity';
    if (pending) {
      this.retryLater(() => this.submit(team, request));
      return;
    }
    request.ended = true;
    request.code = reply.code;
  }

  private call(
    buildEvent: Parameters<
      simulatedEntryProcess.SimulatedEntryProcess['receive']
    >[0],
    onReply: (reply: effect.Reply | undefined) => void,
  ): void {
    const {simulation, random} = this.environment;
    const processes = [...simulation.processes.values()];
    const ownZoneProcesses = processes.filter(
      entry => entry.zone === this.zone,
    );
    const candidates =
      ownZoneProcesses.length > 0 && random.below(5) > 0
        ? ownZoneProcesses
        : processes;
    if (candidates.length === 0) {
      this.retryLater(() => onReply(undefined));
      return;
    }
    const entry = candidates[random.below(candidates.length)];
    simulation.network.call<effect.Reply>(
      this,
      entry,
      respond => entry.receive(buildEvent, respond),
      onReply,
      () => onReply(undefined),
      CALL_TIMEOUT_MS,
    );
  }

  private retryLater(action: () => void): void {
    this.environment.simulation.time.after(RETRY_DELAY_MS, action);
  }
}
