import * as cellGateway from '../../src/zones/cell_gateway.js';
import * as jobCell from './job_cell.js';
import * as simulatedClock from './simulated_clock.js';
import type * as cellPeers from '../../src/zones/cell_peers.js';
import type * as jobAdmission from '../../src/jobs/job_admission.js';

type SubmitReply = cellPeers.LeaderCallOutcome<jobAdmission.SubmitOutcome>;

/** Leader as the fronts see it, with counters of the calls that it got. */
export class LeaderUnderTest {
  readonly clock = new simulatedClock.SimulatedClock();
  /** Times at which submissions arrived. */
  readonly submittedAtMs: number[] = [];
  /** Jobs of each screening call. */
  readonly screened: Array<ReadonlyArray<string>> = [];
  /** Number of delays that the gateway has started. */
  delayCount = 0;
  overloaded = false;
  /** Whether the process of the gateway serves jobs itself. */
  servesLocally = false;
  answer: () => Promise<SubmitReply> = async () => ({
    kind: 'answered',
    value: {kind: 'accepted'},
  });
  screen: (id: string) => jobAdmission.ScreeningOutcome = () => ({
    refusal: undefined,
  });
  readonly gateway: cellGateway.CellGateway;

  constructor() {
    const isOverloaded = (): boolean => this.overloaded;
    const servesLocally = (): boolean => this.servesLocally;
    const localMember = {
      leader: {term: 1, node: 'one', incarnation: 'one-1', address: 'one:1'},
      runsScheduler: false,
      get leaderOverloaded() {
        return isOverloaded();
      },
      get servesJobs() {
        return servesLocally();
      },
      submit: () =>
        servesLocally() ? Promise.resolve({kind: 'accepted'}) : undefined,
    } as unknown as cellGateway.LocalMember;
    const peers = {
      submit: (
        _address: string,
        _definition: unknown,
        _version: number,
        timeoutMs: number,
      ) => this.receiveSubmission(timeoutMs),
      screen: async (
        _address: string,
        jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
      ) => this.receiveScreening(jobs),
    } as unknown as cellPeers.CellPeers;
    this.gateway = new cellGateway.CellGateway(
      localMember,
      peers,
      this.clock,
      {delay: milliseconds => this.delay(milliseconds)},
      this.clock,
      {count: () => {}, observe: () => {}},
    );
  }

  /** Submits a job through the gateway. */
  submit(
    id: string,
    callTimeMs: number,
  ): Promise<cellGateway.GatewayOutcome<jobAdmission.SubmitOutcome>> {
    const deadline = this.clock.now() + callTimeMs;
    return this.gateway.submit(jobCell.jobOf(id, {}), 1, deadline);
  }

  /** Submits jobs through one gateway, one each `intervalMs`. */
  async submitMany(
    count: number,
    intervalMs: number,
    callTimeMs = 3_000,
  ): Promise<ReadonlyArray<cellGateway.GatewayOutcome<unknown>>> {
    const outcomes: Array<cellGateway.GatewayOutcome<unknown>> = [];
    for (let index = 0; index < count; index += 1) {
      void this.submit(`job-${index}`, callTimeMs).then(outcome =>
        outcomes.push(outcome),
      );
      await this.clock.advance(intervalMs);
    }
    await this.clock.advance(5_000);
    return outcomes;
  }

  private delay(milliseconds: number): Promise<void> {
    this.delayCount += 1;
    return this.clock.delay(milliseconds);
  }

  private async receiveSubmission(timeoutMs: number): Promise<SubmitReply> {
    this.submittedAtMs.push(this.clock.now());
    const timedOut = this.clock
      .delay(timeoutMs)
      .then((): SubmitReply => ({kind: 'unanswered', detail: 'timeout'}));
    return Promise.race([this.answer(), timedOut]);
  }

  private receiveScreening(
    jobs: ReadonlyArray<jobAdmission.ScreenedJob>,
  ): cellPeers.LeaderCallOutcome<ReadonlyArray<jobAdmission.ScreeningOutcome>> {
    this.screened.push(jobs.map(({id}) => id));
    return {kind: 'answered', value: jobs.map(({id}) => this.screen(id))};
  }
}
