import * as jsonBody from './json_body.js';
import type * as effect from '../contracts/effect.js';
import type * as event from '../contracts/event.js';
import type * as httpCaller from './http_caller.js';
import type * as task from '../contracts/task.js';

/** Deadline of short calls to a worker. */
const CALL_DEADLINE_MS = 2_000;

/** Longest wait for a task's answer over one connection. */
const ANSWER_DEADLINE_MS = 600_000;

/** Sends effects to workers over HTTP and posts their answers. */
export class WorkerLink {
  constructor(
    private readonly caller: httpCaller.HttpCaller,
    private readonly post: (event: event.Event) => void,
    private readonly now: () => number,
  ) {}

  /** Performs one effect; the answer comes as an event. */
  async perform(wanted: effect.WorkerEffect): Promise<void> {
    switch (wanted.kind) {
      case 'startTask':
        return this.start(wanted);
      case 'renewLeases':
        await this.send(wanted.address, 'POST', '/renewals', {
          tasks: wanted.tasks,
          leaseEnd: wanted.leaseEnd,
        });
        return;
      case 'readReport':
        return this.readReport(wanted.worker, wanted.address);
      case 'fetchTaskAnswer':
        return this.fetchAnswer(wanted.worker, wanted.address, wanted.task);
      case 'stopTask':
        return this.stop(wanted.worker, wanted.address, wanted.task);
      case 'checkpointTask':
        await this.send(
          wanted.address,
          'POST',
          taskPath(wanted.task, 'checkpoint'),
        );
        return;
      case 'throttleTask':
        await this.send(
          wanted.address,
          'POST',
          taskPath(wanted.task, 'throttle'),
          wanted.limit,
        );
        return;
    }
  }

  private async start(
    wanted: Extract<effect.WorkerEffect, {kind: 'startTask'}>,
  ): Promise<void> {
    const answer = await this.send(
      wanted.address,
      'POST',
      '/tasks',
      wanted.start,
    );
    this.post({
      kind: 'startAnswered',
      worker: wanted.worker,
      task: wanted.start.task,
      answer: startAnswer(answer?.status),
      detail: answer?.text ?? 'no answer',
    });
  }

  private async readReport(name: string, address: string): Promise<void> {
    const sentAt = this.now();
    const answer = await this.send(address, 'GET', '/report');
    const parsed =
      answer?.status === 200 ? jsonBody.parseObject(answer.text) : undefined;
    if (parsed === undefined) {
      this.post({kind: 'reportFailed', worker: name});
      return;
    }
    const report = {...parsed, worker: name} as unknown as task.WorkerReport;
    this.post({kind: 'reportArrived', report, sentAt});
  }

  private async fetchAnswer(
    name: string,
    address: string,
    taskName: string,
  ): Promise<void> {
    const answer = await this.caller.call({
      method: 'GET',
      url: `http://${address}${taskPath(taskName, 'answer')}`,
      deadlineMs: ANSWER_DEADLINE_MS,
    });
    const parsed =
      answer?.status === 200 ? jsonBody.parseObject(answer.text) : undefined;
    if (parsed === undefined || parsed['task'] !== taskName) {
      this.post({kind: 'taskAnswerLost', worker: name, task: taskName});
      return;
    }
    this.post({
      kind: 'taskAnswerArrived',
      worker: name,
      task: taskName,
      state: parsed['state'] as 'finished' | 'failed' | 'stopped',
      answer: String(parsed['answer'] ?? ''),
    });
  }

  private async stop(
    name: string,
    address: string,
    taskName: string,
  ): Promise<void> {
    const answer = await this.send(address, 'DELETE', taskPath(taskName));
    this.post({
      kind: 'stopAnswered',
      worker: name,
      task: taskName,
      done: answer !== undefined && answer.status < 300,
    });
  }

  private send(
    address: string,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): ReturnType<httpCaller.HttpCaller['call']> {
    return this.caller.call({
      method,
      url: `http://${address}${path}`,
      body,
      deadlineMs: CALL_DEADLINE_MS,
    });
  }
}

function taskPath(taskName: string, part?: string): string {
  const path = `/tasks/${encodeURIComponent(taskName)}`;
  return part === undefined ? path : `${path}/${part}`;
}

function startAnswer(
  status: number | undefined,
): 'started' | 'refused' | 'lost' {
  if (status === undefined || status >= 500) return 'lost';
  return status === 201 ? 'started' : 'refused';
}
