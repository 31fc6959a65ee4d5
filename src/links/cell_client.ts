import * as callStatistics from './call_statistics.js';
import * as cellMessages from './cell_messages.js';
import * as cellPb from './generated/cell_pb.js';
import * as configurationCodec from './configuration_codec.js';
import * as jsonDocument from './json_document.js';
import * as memberConnection from './member_connection.js';
import * as typeGuards from './type_guards.js';
import type * as jobAdmission from '../jobs/job_admission.js';
import type * as adviceCache from '../jobs/advice_cache.js';
import type * as cellPeers from '../zones/cell_peers.js';
import type * as clock from '../machines/clock.js';
import type * as job from '../jobs/job.js';
import type * as jobScheduler from '../jobs/job_scheduler.js';
import type * as responseTimer from '../machines/response_timer.js';

/** Dependencies of a `CellClient`. */
export interface CellClientOptions {
  readonly clock: clock.Clock;
  readonly timer: responseTimer.ResponseTimer;
  readonly statistics: callStatistics.CallStatistics;
  /** Called with the version of the configuration that a member has. */
  readonly onConfigurationVersion: (version: number, address: string) => void;
  /** Called before the outcome of a call is handled. */
  readonly onOutcome?: () => void;
}

/** Calls other cell members over one HTTP/2 connection per member. */
export class CellClient implements cellPeers.CellPeers {
  private readonly connections = new Map<
    string,
    memberConnection.MemberConnection
  >();
  private readonly histories = new Map<
    string,
    callStatistics.ConnectionHistory
  >();

  constructor(private readonly options: CellClientOptions) {}

  async ping(
    address: string,
    pingMessage: cellPeers.PingMessage,
    timeoutMs: number,
  ): Promise<cellPeers.PeerCallOutcome<cellPeers.PingReply>> {
    const request = {
      newest: cellMessages.encodeClaim(pingMessage.newest),
      configurationVersion: BigInt(pingMessage.configurationVersion),
      sender: pingMessage.sender,
      senderIncarnation: pingMessage.senderIncarnation,
      lastReply: cellMessages.encodeReceivedReply(pingMessage.lastReply),
    };
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.ping(request, options),
    );
    return mapPeerCallOutcome(callOutcome, response => ({
      newest: cellMessages.decodeClaim(response.newest),
      incarnation: response.incarnation,
      leading: response.leading,
      resigning: response.resigning,
      storeSilentMs: response.storeSilentMs,
      configurationVersion: Number(response.configurationVersion),
      configurationAgeMs: response.configurationAgeMs,
      overloaded: response.overloaded,
      sentAt: response.sentAtMs,
    }));
  }

  async fetchConfiguration(
    address: string,
    knownVersion: number,
    timeoutMs: number,
  ): Promise<cellPeers.PeerCallOutcome<cellPeers.MemberConfiguration>> {
    const request = {knownVersion: BigInt(knownVersion)};
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.fetchConfiguration(request, options),
    );
    return mapPeerCallOutcome(callOutcome, ({document, version, ageMs}) => ({
      configuration: jsonDocument
        .parse(document)
        .toEither('must be a JSON document')
        .chain(configurationCodec.checkConfiguration)
        .toMaybe()
        .extract(),
      version: Number(version),
      // Members of an earlier release send neither version nor age.
      ageMs: version === 0n ? Infinity : ageMs,
    }));
  }

  async submit(
    address: string,
    definition: job.JobDefinition,
    configurationVersion: number,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<jobAdmission.SubmitOutcome>> {
    const request = {
      definition: jsonDocument.encode(definition),
      configurationVersion: BigInt(configurationVersion),
    };
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.submit(request, options),
    );
    return this.toLeaderCallOutcome(
      address,
      callOutcome,
      cellMessages.decodeSubmitResponse,
    );
  }

  async screen(
    address: string,
    jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
    timeoutMs: number,
  ): Promise<
    cellPeers.LeaderCallOutcome<ReadonlyArray<jobAdmission.ScreeningOutcome>>
  > {
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.screen({jobs: jobs.map(cellMessages.encodeScreenedJob)}, options),
    );
    return this.toLeaderCallOutcome(address, callOutcome, ({outcomes}) =>
      outcomes.map(cellMessages.decodeScreeningOutcome),
    );
  }

  async cancel(
    address: string,
    queue: string,
    id: string,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<jobScheduler.CancelOutcome>> {
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.cancel({queue, id}, options),
    );
    return this.toLeaderCallOutcome(address, callOutcome, ({known}) =>
      known ? 'cancelled' : 'unknown',
    );
  }

  async readState(
    address: string,
    queue: string,
    id: string,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<job.JobState | undefined>> {
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.readState({queue, id}, options),
    );
    return this.toLeaderCallOutcome(address, callOutcome, ({state}) =>
      state === '' ? undefined : (state as job.JobState),
    );
  }

  async countPending(
    address: string,
    queue: string,
    timeoutMs: number,
  ): Promise<cellPeers.LeaderCallOutcome<number>> {
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.countPending({queue}, options),
    );
    return this.toLeaderCallOutcome(
      address,
      callOutcome,
      ({pending}) => pending,
    );
  }

  async advise(
    address: string,
    step: string,
    workerIds: ReadonlyArray<string>,
    timeoutMs: number,
  ): Promise<adviceCache.AdviceOutcome> {
    const request = {
      step,
      workerIds: [...workerIds],
      timeoutMs: Math.ceil(timeoutMs),
    };
    const callOutcome = await this.call(address, timeoutMs, (client, options) =>
      client.advise(request, options),
    );
    if (callOutcome.kind !== 'answered') {
      const detail =
        callOutcome.kind === 'unanswered' ? callOutcome.detail : 'refused';
      return {kind: 'unanswered', detail};
    }
    const {outcome, tickets, detail} = callOutcome.value;
    if (outcome === 'advised') return {kind: 'advised', tickets};
    if (outcome === 'busy') return {kind: 'busy'};
    return {kind: 'unanswered', detail};
  }

  private toLeaderCallOutcome<
    Response extends {
      readonly leading: cellPb.Leading;
      readonly configurationVersion: bigint;
    },
    Value,
  >(
    address: string,
    callOutcome: cellPeers.PeerCallOutcome<Response>,
    map: (response: Response) => Value,
  ): cellPeers.LeaderCallOutcome<Value> {
    if (callOutcome.kind !== 'answered') return callOutcome;
    const {leading, configurationVersion} = callOutcome.value;
    this.options.onConfigurationVersion(Number(configurationVersion), address);
    if (leading !== cellPb.Leading.YES) return {kind: 'notLeading'};
    return {kind: 'answered', value: map(callOutcome.value)};
  }

  /** Closes the connections that take new calls. */
  close(): void {
    for (const connection of this.connections.values()) connection.close();
    this.connections.clear();
  }

  private async call<Response>(
    address: string,
    timeoutMs: number,
    send: memberConnection.SendCall<Response>,
  ): Promise<cellPeers.PeerCallOutcome<Response>> {
    // Another member's message may name an address that can't be called.
    if (!typeGuards.isAddress(address)) {
      return {kind: 'unanswered', detail: 'invalid address'};
    }
    const outcome = await this.connectionTo(address).call(timeoutMs, send);
    this.options.onOutcome?.();
    return outcome;
  }

  private connectionTo(address: string): memberConnection.MemberConnection {
    const known = this.connections.get(address);
    if (known !== undefined) return known;
    const created = new memberConnection.MemberConnection(address, {
      ...this.options,
      history: this.historyOf(address),
      onSilent: () => this.connections.delete(address),
    });
    this.connections.set(address, created);
    return created;
  }

  private historyOf(address: string): callStatistics.ConnectionHistory {
    const known = this.histories.get(address);
    if (known !== undefined) return known;
    const {statistics} = this.options;
    const created = new callStatistics.ConnectionHistory(statistics);
    this.histories.set(address, created);
    return created;
  }
}

function mapPeerCallOutcome<From, To>(
  callOutcome: cellPeers.PeerCallOutcome<From>,
  map: (value: From) => To,
): cellPeers.PeerCallOutcome<To> {
  if (callOutcome.kind !== 'answered') return callOutcome;
  return {kind: 'answered', value: map(callOutcome.value)};
}
