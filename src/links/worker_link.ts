import * as pendingAnswerTracker from './pending_answer_tracker.js';
import * as jsonBody from './json_body.js';
import * as workerReportParser from './worker_report_parser.js';
import type * as effect from '../contracts/effect.js';
import type * as sinks from '../operations/sinks.js';
import type * as event from '../contracts/event.js';
import type * as pooledHttpClient from './pooled_http_client.js';
import type * as task from '../contracts/task.js';

/** Deadline of short calls to a worker. */
const CALL_DEADLINE_MS = 2_000;

/** Longest wait for a task to end over one connection. */
const ANSWER_DEADLINE_MS = 3_600_000;

/** Time for a large answer to be transferred. */
const TRANSFER_DEADLINE_MS = 60_000;

/** Largest report, in bytes: some 10,000 tasks. */
const LARGEST_REPORT = 8_388_608;

/** Largest answer of a task, in bytes. */
const LARGEST_ANSWER = 67_108_864;

type WorkerCall = Pick<effect.WorkerEffect, 'kind' | 'worker' | 'address'>;

type EffectOf<Kind extends effect.WorkerEffect['kind']> = Extract<
  effect.WorkerEffect,
  {readonly kind: Kind}
>;

/** What a worker link is made with. */
export interface WorkerLinkOptions {
  /** Connections for short calls. */
  readonly client: pooledHttpClient.PooledHttpClient;
  /** Connections that wait for answers, so that they hold up no other call. */
  readonly answerClient: pooledHttpClient.PooledHttpClient;
  readonly post: (event: event.Event) => void;
  readonly now: () => number;
  readonly metrics: sinks.MetricsSink;
}

/** Sends effects to workers over HTTP and posts what they answer. */
export class WorkerLink {
  private readonly watch = new pendingAnswerTracker.PendingAnswerTracker();

  constructor(private readonly parts: WorkerLinkOptions) {}

  /** Performs one effect; the answer comes as an event. */
  async perform(wanted: effect.WorkerEffect): Promise<void> {
    switch (wanted.kind) {
      case 'startTask':
        return this.start(wanted);
      case 'renewLeases':
        await this.send(wanted, 'POST', '/renewals', {
          tasks: wanted.tasks,
          leaseEnd: wanted.leaseEnd,
        });
        return;
      case 'readReport':
        return this.readReport(wanted);
      case 'fetchTaskAnswer':
        return this.fetchAnswer(wanted.worker, wanted.address, wanted.task);
      case 'stopTask':
        return this.stop(wanted, wanted.task);
      case 'checkpointTask':
        await this.send(wanted, 'POST', taskPath(wanted.task, 'checkpoint'));
        return;
      case 'throttleTask':
        await this.send(
          wanted,
          'POST',
          taskPath(wanted.task, 'throttle'),
          wanted.limit,
        );
        return;
    }
  }

  private async start(wanted: EffectOf<'startTask'>): Promise<void> {
    const outcome = await this.send(wanted, 'POST', '/tasks', wanted.start);
    this.parts.post({
      kind: 'startAnswered',
      worker: wanted.worker,
      task: wanted.start.task,
      answer: startAnswer(outcome),
      detail: detailOf(outcome),
    });
  }

  private async readReport(wanted: EffectOf<'readReport'>): Promise<void> {
    const {worker} = wanted;
    const sentAt = this.parts.now();
    const outcome = await this.send(wanted, 'GET', '/report');
    const report = isOk(outcome)
      ? workerReportParser.parseWorkerReport(worker, outcome.text)
      : undefined;
    if (report === undefined) {
      if (isOk(outcome)) this.count('malformed_report', {worker});
      this.parts.post({kind: 'reportFailed', worker});
      return;
    }
    const overdue = this.watch.compare(report, this.parts.now());
    if (overdue > 0) {
      const labels = {link: 'worker', reason: 'answer_overdue'};
      this.count('silent_connection', labels, overdue);
    }
    this.parts.post({kind: 'reportArrived', report, sentAt});
  }

  private async fetchAnswer(
    worker: string,
    address: string,
    name: string,
  ): Promise<void> {
    const signal = this.watch.begin(worker, name);
    const outcome = await this.parts.answerClient.call({
      method: 'GET',
      address,
      path: taskPath(name, 'answer'),
      headersTimeoutMs: ANSWER_DEADLINE_MS,
      bodyTimeoutMs: TRANSFER_DEADLINE_MS,
      maxResponseBytes: LARGEST_ANSWER,
      signal,
    });
    this.watch.end(worker, name, signal);
    const read = isOk(outcome) ? readAnswer(outcome.text, name) : undefined;
    if (read === undefined) {
      this.parts.post({kind: 'taskAnswerLost', worker, task: name});
      return;
    }
    this.parts.post({kind: 'taskAnswerArrived', worker, task: name, ...read});
  }

  private async stop(wanted: WorkerCall, name: string): Promise<void> {
    const outcome = await this.send(wanted, 'DELETE', taskPath(name));
    this.parts.post({
      kind: 'stopAnswered',
      worker: wanted.worker,
      task: name,
      done: isOk(outcome),
    });
  }

  private async send(
    wanted: WorkerCall,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<pooledHttpClient.PooledHttpOutcome> {
    const outcome = await this.parts.client.call({
      method,
      address: wanted.address,
      path,
      body,
      headersTimeoutMs: CALL_DEADLINE_MS,
      bodyTimeoutMs: CALL_DEADLINE_MS,
      maxResponseBytes: LARGEST_REPORT,
    });
    if (outcome.kind !== 'answered') {
      const labels = {call: wanted.kind, outcome: outcome.kind};
      this.count('worker_call_failed', labels);
    }
    return outcome;
  }

  private count(
    metric: string,
    labels: Readonly<Record<string, string>>,
    value = 1,
  ): void {
    this.parts.metrics.count(metric, labels, value);
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

/** Reads an answer; undefined unless it names the task that was asked for. */
function readAnswer(text: string, name: string): TaskAnswer | undefined {
  const parsed = jsonBody.parseJsonObject(text);
  if (parsed === undefined || parsed['task'] !== name) return undefined;
  const {state, answer} = parsed;
  if (typeof answer !== 'string' || !ENDED_STATES.has(state)) return undefined;
  return {state: state as TaskAnswer['state'], answer};
}

function taskPath(taskName: string, part?: string): string {
  const path = `/tasks/${encodeURIComponent(taskName)}`;
  return part === undefined ? path : `${path}/${part}`;
}

function isOk(
  outcome: pooledHttpClient.PooledHttpOutcome,
): outcome is Extract<pooledHttpClient.PooledHttpOutcome, {kind: 'answered'}> {
  return (
    outcome.kind === 'answered' && outcome.status >= 200 && outcome.status < 300
  );
}

/** A start that was not sent, or was answered by a refusal, never runs. */
function startAnswer(
  outcome: pooledHttpClient.PooledHttpOutcome,
): 'started' | 'refused' | 'lost' {
  if (outcome.kind === 'notSent') return 'refused';
  if (outcome.kind === 'lost') return 'lost';
  if (outcome.status === 201) return 'started';
  return outcome.status >= 400 && outcome.status < 500 ? 'refused' : 'lost';
}

function detailOf(outcome: pooledHttpClient.PooledHttpOutcome): string {
  if (outcome.kind !== 'answered') return outcome.detail;
  return `status ${outcome.status}: ${outcome.text.slice(0, 200)}`;
}
