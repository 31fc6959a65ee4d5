import type * as platformCell from '../stand_ins/platform_cell.js';
import type * as workerModel from '../stand_ins/worker_model.js';

/** Room of a task of the soak's jobs. */
const TASK_CPU_THOUSANDTHS = 1_000;

/** Room of a stand-in worker. */
const WORKER_CPU_THOUSANDTHS = 4_000;

/** Checks what callers and workers saw against the promises of the pages. */
export class GuaranteeChecker {
  readonly breaches: string[] = [];
  private readonly submittedIds = new Set<string>();
  private readonly acceptedIds = new Set<string>();
  private readonly refusedIds = new Set<string>();

  constructor(private readonly cell: platformCell.PlatformCell) {}

  get acceptedCount(): number {
    return this.acceptedIds.size;
  }

  acceptedJobs(): ReadonlyArray<string> {
    return [...this.acceptedIds];
  }

  /** A job is about to be handed in. */
  jobSubmitted(id: string): void {
    this.submittedIds.add(id);
  }

  /** A caller heard that the job was accepted. */
  jobAccepted(id: string): void {
    this.acceptedIds.add(id);
  }

  /** Every answer about the job said that it was not accepted. */
  jobRefused(id: string): void {
    this.refusedIds.add(id);
  }

  /** An accepted job is not known any more. */
  jobLost(id: string, status: number): void {
    this.breaches.push(`accepted job ${id} is answered with ${status}`);
  }

  /** An accepted job did not complete in time. */
  jobUnfinished(id: string, status: number, state: string): void {
    this.breaches.push(`accepted job ${id} is ${status} ${state} at the end`);
  }

  /** Checks what all workers carried out. */
  checkRuns(): void {
    const events = this.cell.workers
      .flatMap(worker => worker.events)
      .sort((left, right) => left.atMs - right.atMs);
    const running = new Map<string, Set<string>>();
    const done = new Set<string>();
    const load = new Map<string, number>();
    for (const event of events) {
      const runs = running.get(event.task) ?? new Set<string>();
      running.set(event.task, runs);
      if (event.kind === 'started') this.checkStart(event, runs, done);
      else if (event.outcome === 'done') done.add(event.task);
      const change = event.kind === 'started' ? 1 : -1;
      const used =
        (load.get(event.worker) ?? 0) + change * TASK_CPU_THOUSANDTHS;
      load.set(event.worker, used);
      if (used > WORKER_CPU_THOUSANDTHS) {
        this.breaches.push(`${event.worker} is over its capacity: ${used}`);
      }
      if (event.kind === 'started') runs.add(nameOf(event));
      else runs.delete(nameOf(event));
    }
  }

  private checkStart(
    event: workerModel.WorkerEvent,
    runs: ReadonlySet<string>,
    done: ReadonlySet<string>,
  ): void {
    const what = `${event.task} run ${event.run} on ${event.worker}`;
    const [id] = event.task.split('.');
    if (runs.size > 0) this.breaches.push(`${what} beside ${[...runs].join()}`);
    if (done.has(event.task)) this.breaches.push(`${what} after its end`);
    if (!this.submittedIds.has(id)) {
      this.breaches.push(`${what} was never handed in`);
    }
    if (this.refusedIds.has(id)) this.breaches.push(`${what} was refused`);
  }
}

function nameOf(event: workerModel.WorkerEvent): string {
  return `${event.worker}/${event.run}`;
}
