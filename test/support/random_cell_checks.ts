import * as jobCell from './job_cell.js';
import * as resources from '../../src/machines/resources.js';
import * as randomWorld from './random_world.js';
import type * as workerModel from '../../stand_ins/worker_model.js';

/** Share of a quota that callers accept. */
const QUOTA_TOLERANCE = 1.1;

/** Checks a simulated cell against the rules, and keeps what breaks them. */
export class RandomCellChecks {
  readonly violations: string[] = [];
  private checkedCount = 0;
  private readonly activeRuns = new Map<string, Set<string>>();

  constructor(private readonly world: randomWorld.RandomWorld) {}

  /** Checks what has happened since the last call. */
  checkInvariants(): void {
    for (const model of this.world.models) this.checkCapacity(model);
    if (this.world.options.hasQuotas) this.checkQuota();
    const {events} = this.world.cell.workers;
    for (; this.checkedCount < events.length; this.checkedCount += 1) {
      this.checkEvent(events[this.checkedCount]);
    }
  }

  private checkCapacity(model: workerModel.WorkerModel): void {
    const used = model.reservedCapacity(task => this.sizeOf(task));
    if (resources.fits(used, model.entry.capacity)) return;
    const at = Math.round(this.world.cell.time.now());
    this.violations.push(`worker over capacity: ${model.entry.id} at ${at} ms`);
  }

  /**
   * Checks what an organisation has running on all workers together. Callers
   * accept a tenth and one task more than its quota.
   */
  private checkQuota(): void {
    const {name, quota} = randomWorld.LIMITED_ORGANISATION;
    const {definitions} = this.world.cell.journal;
    const isLimited = (task: string): boolean =>
      definitions.get(task.split('.')[0])?.organisation === name;
    let processors = 0;
    for (const model of this.world.models) {
      const used = model.reservedCapacity(task =>
        isLimited(task) ? this.sizeOf(task) : resources.NONE,
      );
      processors += used.processors;
    }
    const limit =
      QUOTA_TOLERANCE * quota.processors + jobCell.STEP.size.processors;
    if (processors <= limit) return;
    const at = Math.round(this.world.cell.time.now());
    this.violations.push(`quota exceeded: ${processors} at ${at} ms`);
  }

  private sizeOf(task: string): resources.Resources {
    const [id, , step] = task.split('.');
    const definition = this.world.cell.journal.definitions.get(id);
    const {size, usesIdleCapacity} = definition?.steps[Number(step)] ?? {
      size: resources.NONE,
      usesIdleCapacity: false,
    };
    return usesIdleCapacity ? {...size, processors: 0} : size;
  }

  private checkEvent(event: workerModel.RunEvent): void {
    const running = this.activeRuns.get(event.task) ?? new Set<string>();
    this.activeRuns.set(event.task, running);
    const run = `${event.worker}/${event.run}`;
    if (event.kind === 'ended') {
      running.delete(run);
      return;
    }
    const at = `${event.task} run ${event.run} on ${event.worker} at ${Math.round(event.atMs)} ms`;
    if (running.size > 0) {
      this.violations.push(
        `task runs twice: ${at}, beside ${[...running].join(' ')}`,
      );
    }
    if (this.wasStoredAsDone(event)) {
      this.violations.push(`start sent after its end was stored: ${at}`);
    }
    running.add(run);
    if (!this.isServiceAllowed(event)) {
      this.violations.push(`service of an older version: ${at}`);
    }
  }

  /**
   * Returns whether a version that was in force when the job was submitted, or
   * a later one, sends the queue to the worker's service.
   */
  private isServiceAllowed({task, worker}: workerModel.RunEvent): boolean {
    if (!this.world.options.changesConfiguration) return true;
    const [id] = task.split('.');
    const model = this.world.models.find(({entry}) => entry.id === worker);
    const version = this.world.submittedVersions.get(id) ?? 0;
    const allowed = this.world.serviceByVersion.slice(version);
    return allowed.includes(model?.entry.service);
  }

  /**
   * Returns whether a task's end was stored before a start was sent. A start
   * that was sent before may be carried out later: the rule forbids that only
   * after an acknowledged end, see `checkAcknowledgedSuccesses`.
   */
  private wasStoredAsDone(event: workerModel.RunEvent): boolean {
    const storedAtMs = this.world.cell.journal.storedAsDoneAtMs(event.task);
    if (storedAtMs === undefined) return false;
    return storedAtMs < (event.sentAtMs ?? event.atMs);
  }

  /**
   * Checks that no task was started after a success that counts: one that was
   * acknowledged before its worker's lease lapsed.
   */
  checkAcknowledgedSuccesses(): void {
    const starts = this.world.cell.startsOf('');
    for (const acknowledged of this.world.cell.workers.acknowledgedEnds) {
      const {task, run, endKind, endedAtMs, leaseLapsed} = acknowledged;
      if (endKind !== 'done' || leaseLapsed) continue;
      const later = starts.find(
        start => start.task === task && start.atMs > endedAtMs,
      );
      if (later === undefined) continue;
      this.violations.push(
        `task started after a success that counts: ${task} run ${run}, started again as run ${later.run} at ${Math.round(later.atMs)} ms`,
      );
    }
  }

  /** Checks that all accepted jobs have ended. */
  checkCompleted(): void {
    for (const id of this.world.definitions.keys()) {
      const state = this.world.scheduler?.stateOf('orders', id);
      if (state === 'completed') continue;
      if (state === 'failed' && this.mayFail(id)) continue;
      if (state === 'cancelled' && this.world.cancelledAtMs.has(id)) continue;
      this.violations.push(`accepted job did not finish: ${id} is ${state}`);
    }
  }

  /**
   * Returns whether a job has a cause to fail: a task has failed as often as it
   * may, or the store can't hold the job's progress (code 1015).
   */
  private mayFail(id: string): boolean {
    const isTooLarge = this.world.hasRecordLimit && id.startsWith('flood');
    return isTooLarge || this.hasFailedAttempts(id);
  }

  private hasFailedAttempts(id: string): boolean {
    const counts = new Map<string, number>();
    for (const {kind, task, outcome} of this.world.cell.workers.events) {
      if (kind !== 'ended' || outcome !== 'failed') continue;
      if (!task.startsWith(`${id}.`)) continue;
      counts.set(task, (counts.get(task) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values()) >= jobCell.QUEUE.attempts;
  }

  /** Checks that no job runs of which all submissions were refused. */
  checkRefused(): void {
    const started = new Set(
      this.world.cell.startsOf('').map(({task}) => task.split('.')[0]),
    );
    for (const id of started) {
      if (!this.world.isRefused(id)) continue;
      this.violations.push(`refused job was started: ${id}`);
    }
  }
}
