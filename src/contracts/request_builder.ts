import * as either from 'purify-ts/Either';
import * as result from '../result.js';
import type * as clock from '../machines/clock.js';
import type * as configuration from './configuration.js';
import type * as request from './request.js';

/** Provides the configuration in force. */
export interface ConfigurationSource {
  current(): configuration.Configuration;
}

/** Client that sends a submission, and the identity that it uses. */
export interface SubmissionSender {
  readonly identity: string;
  readonly client: string;
  /** Whether the client reserved the identity beforehand. */
  readonly reserved: boolean;
}

/** Builds requests from submissions and the configuration of their teams. */
export class RequestBuilder {
  constructor(private readonly documents: ConfigurationSource) {}

  /** Returns the request, or the reason for refusing the submission. */
  build(
    submission: request.Submission,
    sender: SubmissionSender,
    now: clock.Milliseconds,
  ): either.Either<result.Failure, request.Request> {
    const {teams, versions} = this.documents.current();
    if (teams.size === 0 && versions.size === 0) {
      return refuse('noConfiguration', 'no configuration document is read yet');
    }
    const team = teams.get(submission.team);
    if (team === undefined) {
      return refuse(
        'unknownTeam',
        `team: ${submission.team} is not configured`,
      );
    }
    if (!team.clients.includes(sender.client)) {
      return refuse(
        'clientNotAllowed',
        `client: ${sender.client} does not belong to team ${team.name}`,
      );
    }
    const workload = team.workloads.find(
      item => item.name === submission.workload,
    );
    if (workload === undefined) {
      return refuse(
        'unknownWorkload',
        `workload: team ${team.name} has no workload ${submission.workload}`,
      );
    }
    if (!workload.idempotent && !sender.reserved) {
      return refuse(
        'identityRequired',
        `workload: ${workload.name} is not idempotent; reserve an identity`,
      );
    }
    const deadline = submission.startDeadlineMs ?? workload.startDeadlineMs;
    return either.Right({
      identity: sender.identity,
      client: sender.client,
      team: team.name,
      workload,
      payload: submission.payload,
      size: submission.size ?? workload.size,
      taskCount: workload.taskCount,
      arrivedAt: now,
      startBy: deadline > 0 ? now + deadline : Infinity,
    });
  }

  /** Returns whether a submission may run twice; undefined if unconfigured. */
  isIdempotent(submission: request.Submission): boolean | undefined {
    const team = this.documents.current().teams.get(submission.team);
    return team?.workloads.find(item => item.name === submission.workload)
      ?.idempotent;
  }
}

function refuse(
  name: result.ResultName,
  detail: string,
): either.Either<result.Failure, request.Request> {
  return either.Left(result.failure(name, detail));
}
