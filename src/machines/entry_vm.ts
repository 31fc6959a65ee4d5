import * as either from 'purify-ts/Either';
import * as configurationKeeper from '../contracts/configuration_keeper.js';
import * as effects from '../contracts/effect.js';
import * as fleet from './fleet.js';
import * as identity from '../contracts/identity.js';
import * as requestTable from '../contracts/request_table.js';
import * as result from '../result.js';
import * as retryBudget from '../contracts/retry_budget.js';
import * as scheduler from '../contracts/scheduler.js';
import * as schedulerEffects from '../contracts/scheduler_effects.js';
import * as taskRunner from './task_runner.js';
import * as zoneControl from '../zones/zone_control.js';
import type * as clock from './clock.js';
import type * as configuration from '../contracts/configuration.js';
import type * as event from '../contracts/event.js';
import type * as loop from '../loop.js';
import type * as randomSource from './random_source.js';
import type * as request from '../contracts/request.js';

/** What an entry process is made with. */
export interface EntryVmParts {
  readonly self: zoneControl.ProcessDescription;
  readonly reader: configuration.DocumentReader;
  readonly random: randomSource.RandomSource;
}

type CallOf<Kind extends event.CallEvent['kind']> = Extract<
  event.CallEvent,
  {readonly kind: Kind}
>;

/**
 * The decisions of one entry process: takes one event a turn and returns the
 * effects. It reads no clock and performs no input or output.
 */
export class EntryVm implements loop.EventHandler {
  private readonly workers = new fleet.Fleet();
  private readonly zone: zoneControl.ZoneControl;
  private readonly documents: configurationKeeper.ConfigurationKeeper;
  private readonly requests = new requestTable.RequestTable();
  private readonly scheduler: scheduler.Scheduler;
  private readonly runner: taskRunner.TaskRunner;
  private readonly issuer: identity.IdentityIssuer;
  private readonly retries = new retryBudget.RetryBudget();

  constructor(private readonly parts: EntryVmParts) {
    this.zone = new zoneControl.ZoneControl(parts.self, this.workers);
    this.documents = new configurationKeeper.ConfigurationKeeper(parts.reader);
    this.scheduler = new scheduler.Scheduler(
      this.workers,
      {
        mayPlace: (name, now) => this.zone.permitEnd(name) > now,
      },
      this.documents,
    );
    this.runner = new taskRunner.TaskRunner(this.workers, this.zone);
    this.issuer = new identity.IdentityIssuer(parts.self.process, parts.random);
  }

  /** Handles one event at local time `now`. */
  handle(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const done: effects.Effect[] = [
      ...this.zone.handle(handled, now),
      ...this.documents.handle(handled, now),
      ...this.take(this.runner.handle(handled, now), now),
      ...this.handleCall(handled, now),
    ];
    if (handled.kind === 'timePassed') done.push(...this.expire(now));
    if (handled.kind === 'reportArrived') {
      this.scheduler.observeReport(handled.report, now);
    }
    done.push(...this.placeWaiting(now));
    return done;
  }

  /** When `timePassed` is wanted next. */
  nextDeadline(): clock.Milliseconds {
    return Math.min(
      this.zone.nextDeadline(),
      this.documents.nextDeadline(),
      this.runner.nextDeadline(),
      this.requests.nextDeadline(),
      this.scheduler.nextDeadline(),
    );
  }

  private handleCall(
    handled: event.Event,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    switch (handled.kind) {
      case 'identitiesArrived':
        return this.issueIdentities(handled);
      case 'requestArrived':
        return this.requestArrived(handled, now);
      case 'fetchArrived':
        return this.fetchArrived(handled, now);
      case 'cancelArrived':
        return this.cancelArrived(handled, now);
      case 'statusArrived':
        return this.status(handled);
      case 'callEnded':
        this.requests.forgetCall(handled.call);
        return [];
      default:
        return [];
    }
  }

  private issueIdentities(
    call: CallOf<'identitiesArrived'>,
  ): ReadonlyArray<effects.Effect> {
    const identities: string[] = [];
    for (let issued = 0; issued < call.count; issued += 1) {
      identities.push(this.issuer.issue());
    }
    return [
      {
        kind: 'answerCaller',
        call: call.call,
        reply: {code: result.RESULT_CODES.ok.code, identities},
      },
    ];
  }

  private requestArrived(
    call: CallOf<'requestArrived'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const name = call.identity ?? this.issuer.issue();
    const known = this.requests.get(name);
    if (known !== undefined) return this.repeated(call, known, now);
    return this.buildRequest(call, name, now)
      .chain(built => this.scheduler.admit(built, now).map(() => built))
      .caseOf({
        Left: refusal => refuse(call.call, refusal),
        Right: admitted => {
          this.requests.add(admitted);
          const until = now + call.waitMs;
          return this.requests.wait(name, call.call, until, now);
        },
      });
  }

  private repeated(
    call: CallOf<'requestArrived'>,
    known: requestTable.RequestEntry,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {request: first} = known;
    if (first.client !== call.client) {
      return refuse(call.call, unknownIdentity(first.identity));
    }
    const same =
      first.team === call.submission.team &&
      first.workload.name === call.submission.workload &&
      first.payload === call.submission.payload;
    if (!same) {
      return refuse(
        call.call,
        result.failure(
          'identityConflict',
          `identity ${first.identity} belongs to a different submission`,
        ),
      );
    }
    const until = now + call.waitMs;
    return this.requests.wait(first.identity, call.call, until, now);
  }

  private buildRequest(
    call: CallOf<'requestArrived'>,
    name: string,
    now: clock.Milliseconds,
  ): either.Either<result.Failure, request.Request> {
    const {submission} = call;
    const team = this.documents.current().teams.get(submission.team);
    if (team === undefined) {
      return either.Left(
        result.failure(
          'unknownTeam',
          `team: ${submission.team} is not configured`,
        ),
      );
    }
    const workload = team.workloads.find(
      item => item.name === submission.workload,
    );
    if (workload === undefined) {
      return either.Left(
        result.failure(
          'unknownWorkload',
          `workload: team ${team.name} has no ${submission.workload}`,
        ),
      );
    }
    if (!workload.idempotent && call.identity === undefined) {
      return either.Left(
        result.failure(
          'identityRequired',
          `workload: ${workload.name} is not idempotent; reserve an identity`,
        ),
      );
    }
    const deadline = submission.startDeadlineMs ?? workload.startDeadlineMs;
    return either.Right({
      identity: name,
      client: call.client,
      team: team.name,
      workload,
      payload: submission.payload,
      size: submission.size ?? workload.size,
      taskCount: workload.taskCount,
      arrivedAt: now,
      startBy: deadline > 0 ? now + deadline : Infinity,
    });
  }

  private fetchArrived(
    call: CallOf<'fetchArrived'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const known = this.requests.get(call.identity);
    if (known === undefined || known.request.client !== call.client) {
      return refuse(call.call, unknownIdentity(call.identity));
    }
    const until = now + call.waitMs;
    return this.requests.wait(call.identity, call.call, until, now);
  }

  private cancelArrived(
    call: CallOf<'cancelArrived'>,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const known = this.requests.get(call.identity);
    if (known === undefined || known.request.client !== call.client) {
      return refuse(call.call, unknownIdentity(call.identity));
    }
    const done: effects.Effect[] = [];
    if (this.scheduler.remove(call.identity)) {
      const ending = {result: 'cancelled', detail: '', answer: ''} as const;
      done.push(...this.requests.end(call.identity, ending, now));
    }
    done.push(...this.requests.wait(call.identity, call.call, now, now));
    return done;
  }

  private status(call: CallOf<'statusArrived'>): ReadonlyArray<effects.Effect> {
    const current = this.documents.current();
    return [
      {
        kind: 'answerCaller',
        call: call.call,
        reply: {
          code: result.RESULT_CODES.ok.code,
          content: {
            process: this.parts.self.process,
            zone: this.parts.self.zone,
            ownedWorkers: this.workers
              .all()
              .filter(item => this.zone.owns(item.name))
              .map(item => item.name),
            documents: Object.fromEntries(current.versions),
            waiting: this.scheduler.waitingCount(),
            unfinished: this.requests.unfinishedCount(),
          },
        },
      },
    ];
  }

  private expire(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    const done: effects.Effect[] = [];
    for (const late of this.scheduler.takeExpired(now)) {
      const ending = {
        result: 'deadlinePassed',
        detail: 'the latest start passed while the request waited',
        answer: '',
      } as const;
      done.push(effects.count('refusal', {reason: ending.result}));
      done.push(...this.requests.end(late.identity, ending, now));
    }
    done.push(...this.requests.expire(now));
    return done;
  }

  private placeWaiting(now: clock.Milliseconds): ReadonlyArray<effects.Effect> {
    const done: effects.Effect[] = [];
    for (const placement of this.scheduler.place(now)) {
      const name = placement.request.identity;
      this.requests.advance(name, 'starting', placement.worker.name);
      done.push(...this.take(this.runner.start(placement, now), now));
    }
    const interventions = this.scheduler.takeInterventions();
    done.push(...schedulerEffects.interventionEffects(interventions));
    const violations = this.scheduler.takeViolations();
    done.push(...schedulerEffects.violationEffects(violations));
    return done;
  }

  private take(
    turn: taskRunner.RunnerTurn,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const done = [...turn.effects];
    for (const outcome of turn.outcomes) {
      done.push(...this.takeOutcome(outcome, now));
    }
    return done;
  }

  private takeOutcome(
    outcome: taskRunner.TaskOutcome,
    now: clock.Milliseconds,
  ): ReadonlyArray<effects.Effect> {
    const {request: concerned, worker} = outcome.placement;
    switch (outcome.kind) {
      case 'started':
        this.scheduler.taskStarted(outcome.placement, now);
        this.requests.advance(concerned.identity, 'running', worker.name);
        return [
          {
            kind: 'observe',
            metric: 'wait',
            labels: {team: concerned.team},
            milliseconds: now - concerned.arrivedAt,
          },
        ];
      case 'notRun':
        this.scheduler.taskNotRun(outcome.placement, now);
        if (!this.retries.spend(now)) {
          const ending = {
            result: 'retryBudgetSpent',
            detail: outcome.detail,
            answer: '',
          } as const;
          return [
            effects.count('refusal', {reason: ending.result}),
            ...this.requests.end(concerned.identity, ending, now),
          ];
        }
        this.requests.advance(concerned.identity, 'queued', '');
        this.scheduler.requeue(concerned);
        return [effects.count('retry', {reason: 'startNotRun'})];
      case 'ended':
        this.taskEnded(outcome, now);
        return this.requests.end(concerned.identity, outcome.ending, now);
    }
  }

  private taskEnded(
    ended: Extract<taskRunner.TaskOutcome, {readonly kind: 'ended'}>,
    now: clock.Milliseconds,
  ): void {
    const failed = ended.ending.result === 'taskFailed';
    if (!failed) this.retries.succeeded();
    this.scheduler.taskEnded(ended.placement, failed, now);
  }
}

function refuse(
  call: event.CallNumber,
  refusal: result.Failure,
): ReadonlyArray<effects.Effect> {
  return [
    effects.count('refusal', {reason: refusal.result}),
    {
      kind: 'answerCaller',
      call,
      reply: {
        code: result.RESULT_CODES[refusal.result].code,
        detail: refusal.detail,
      },
    },
  ];
}

function unknownIdentity(name: string): result.Failure {
  return result.failure(
    'unknownIdentity',
    `identity: ${name} was not issued to this client here`,
  );
}
