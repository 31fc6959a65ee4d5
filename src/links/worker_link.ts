import * as pendingAnswerTracker from './pending_answer_tracker.js';
import * as jsonBody from './json_body.js';
import * as workerReportParser from './worker_report_parser.js';
import type * as effect from '../contracts/effect.js';
import type * as sinks from '../operations/sinks.js';
import type * as event from '../contracts/event.js';
import type * as pooledHttpClient from './pooled_http_client.js';
import type * as task from '../contracts/task.js';

/** Timeout of short calls to a worker. */
const CALL_TIMEOUT_MS = 2_000;

/** Longest wait for the end of a task in one call. */
const ANSWER_WAIT_TIMEOUT_MS = 3_600_000;

/** Timeout of the transfer of an answer, which may be large. */
const TRANSFER_TIMEOUT_MS = 60_000;

/** Largest report that is accepted; enough for about 10,000 tasks. */
const MAXIMUM_REPORT_BYTES = 8_388_608;

/** Largest answer of a task that is accepted. */
const MAXIMUM_ANSWER_BYTES = 67_108_864;

type WorkerCall = Pick<effect.WorkerEffect, 'kind' | 'worker' | 'address'>;

type EffectOf<Kind extends effect.WorkerEffect['kind']> = Extract<
  effect.WorkerEffect,
  {readonly kind: Kind}
>;

/** Dependencies of a worker link. */
export interface WorkerLinkOptions {
  /** Client for short calls. */
  readonly client: pooledHttpClient.PooledHttpClient;
  /** Client for long waits for answers, which must not delay short calls. */
  readonly answerClient: pooledHttpClient.PooledHttpClient;
  readonly post: (event: event.Event) => void;
  readonly now: () => number;
  readonly metrics: sinks.MetricsSink;
}

/** Sends effects to workers over HTTP and posts their answers as events. */
export class WorkerLink {
  private readonly pendingAnswers =
    new pendingAnswerTracker.PendingAnswerTracker();

  constructor(private readonly options: WorkerLinkOptions) {}

  /** Performs one effect and posts its outcome, if it has one, as an event. */
  async perform(workerEffect: effect.WorkerEffect): Promise<void> {
    switch (workerEffect.kind) {
      case 'startTask':
        return this.start(workerEffect);
      case 'renewLeases':
        await this.send(workerEffect, 'POST', '/renewals', {
          tasks: workerEffect.tasks,
          leaseEnd: workerEffect.leaseEnd,
        });
        return;
      case 'readReport':
        return this.readReport(workerEffect);
      case 'fetchTaskAnswer':
        return this.fetchAnswer(
          workerEffect.worker,
          workerEffect.address,
          workerEffect.task,
        );
      case 'stopTask':
        return this.stop(workerEffect, workerEffect.task);
      case 'checkpointTask':
        await this.send(
          workerEffect,
          'POST',
          taskPath(workerEffect.task, 'checkpoint'),
        );
        return;
      case 'throttleTask':
        await this.send(
          workerEffect,
          'POST',
          taskPath(workerEffect.task, 'throttle'),
          workerEffect.limit,
        );
        return;
    }
  }

  private async start(workerEffect: EffectOf<'startTask'>): Promise<void> {
    const outcome = await this.send(
      workerEffect,
      'POST',
      '/tasks',
      workerEffect.start,
    );
    this.options.post({
      kind: 'startAnswered',
      worker: workerEffect.worker,
      task: workerEffect.start.task,
      answer: classifyStart(outcome),
      detail: describeOutcome(outcome),
    });
  }

  private async readReport(
    workerEffect: EffectOf<'readReport'>,
  ): Promise<void> {
    const {worker} = workerEffect;
    const sentAt = this.options.now();
    const outcome = await this.send(workerEffect, 'GET', '/report');
    const report = isSuccess(outcome)
      ? workerReportParser.parseWorkerReport(worker, outcome.text)
      : undefined;
    if (report === undefined) {
      if (isSuccess(outcome)) this.count('malformed_report', {worker});
      this.options.post({kind: 'reportFailed', worker});
      return;
    }
    const overdueCount = this.pendingAnswers.abortOverdue(
      report,
      this.options.now(),
    );
    if (overdueCount > 0) {
      const labels = {link: 'worker', reason: 'answer_overdue'};
      this.count('silent_connection', labels, overdueCount);
    }
    this.options.post({kind: 'reportArrived', report, sentAt});
  }

  private async fetchAnswer(
    worker: string,
    address: string,
    taskName: string,
  ): Promise<void> {
    const signal = this.pendingAnswers.track(worker, taskName);
    const outcome = await this.options.answerClient.call({
      method: 'GET',
      address,
      path: taskPath(taskName, 'answer'),
      headersTimeoutMs: ANSWER_WAIT_TIMEOUT_MS,
      bodyTimeoutMs: TRANSFER_TIMEOUT_MS,
      maximumResponseBytes: MAXIMUM_ANSWER_BYTES,
      signal,
    });
    this.pendingAnswers.untrack(worker, taskName, signal);
    const taskAnswer = isSuccess(outcome)
      ? parseAnswer(outcome.text, taskName)
      : undefined;
    if (taskAnswer === undefined) {
      this.options.post({kind: 'taskAnswerLost', worker, task: taskName});
      return;
    }
    this.options.post({
      kind: 'taskAnswerArrived',
      worker,
      task: taskName,
      ...taskAnswer,
    });
  }

  private async stop(
    workerEffect: WorkerCall,
    taskName: string,
  ): Promise<void> {
    const outcome = await this.send(workerEffect, 'DELETE', taskPath(taskName));
    this.options.post({
      kind: 'stopAnswered',
      worker: workerEffect.worker,
      task: taskName,
      done: isSuccess(outcome),
    });
  }

  private async send(
    workerEffect: WorkerCall,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<pooledHttpClient.PooledHttpOutcome> {
    const outcome = await this.options.client.call({
      method,
      address: workerEffect.address,
      path,
      body,
      headersTimeoutMs: CALL_TIMEOUT_MS,
      bodyTimeoutMs: CALL_TIMEOUT_MS,
      maximumResponseBytes: MAXIMUM_REPORT_BYTES,
    });
    if (outcome.kind !== 'answered') {
      const labels = {call: workerEffect.kind, outcome: outcome.kind};
      this.count('worker_call_failed', labels);
    }
    return outcome;
  }

  private count(
    metric: string,
    labels: Readonly<Record<string, string>>,
    value = 1,
  ): void {
    this.options.metrics.count(metric, labels, value);
  }
}

type TaskAnswer = Pick<
  Extract<event.WorkerEvent, {kind: 'taskAnswerArrived'}>,
  'state' | 'answer'
>;

const ENDED_STATES: ReadonlySet<unknown> = new Set<task.TaskState>([
  'finished',
  'failed',
  'stopped',
  'checkpointed',
  'lapsed',
]);

/** Parses an answer; returns undefined if it is of another task. */
function parseAnswer(text: string, taskName: string): TaskAnswer | undefined {
  const parsed = jsonBody.parseJsonObject(text);
  if (parsed === undefined || parsed['task'] !== taskName) return undefined;
  const {state, answer} = parsed;
  if (typeof answer !== 'string' || !ENDED_STATES.has(state)) return undefined;
  return {state: state as TaskAnswer['state'], answer};
}

function taskPath(taskName: string, subresource?: string): string {
  const path = `/tasks/${encodeURIComponent(taskName)}`;
  return subresource === undefined ? path : `${path}/${subresource}`;
}

function isSuccess(
  outcome: pooledHttpClient.PooledHttpOutcome,
): outcome is Extract<pooledHttpClient.PooledHttpOutcome, {kind: 'answered'}> {
  return (
    outcome.kind === 'answered' && outcome.status >= 200 && outcome.status < 300
  );
}

/**
 * Classifies the outcome of a start. A task whose start was not sent, or was
 * refused with a 4xx status, never runs; after any other failure it may run.
 */
function classifyStart(
  outcome: pooledHttpClient.PooledHttpOutcome,
): 'started' | 'refused' | 'lost' {
  if (outcome.kind === 'notSent') return 'refused';
  if (outcome.kind === 'lost') return 'lost';
  if (outcome.status === 201) return 'started';
  return outcome.status >= 400 && outcome.status < 500 ? 'refused' : 'lost';
}

function describeOutcome(outcome: pooledHttpClient.PooledHttpOutcome): string {
  if (outcome.kind !== 'answered') return outcome.detail;
  return `status ${outcome.status}: ${outcome.text.slice(0, 200)}`;
}
