import type * as jobJournal from '../../src/jobs/job_journal.js';
import type * as simulatedClock from './simulated_clock.js';
import type * as workerClient from '../../src/machines/worker_client.js';

/**
 * A process that can be paused: its calls are carried out, but their answers and
 * its timers wait until it runs again.
 */
export class PausableProcess implements jobJournal.DelayTimer {
  private resumesAtMs = 0;

  constructor(private readonly time: simulatedClock.SimulatedClock) {}

  get isPaused(): boolean {
    return this.time.now() < this.resumesAtMs;
  }

  pause(milliseconds: number): void {
    this.resumesAtMs = this.time.now() + milliseconds;
  }

  /** Runs a callback as soon as the process runs. */
  runSoon(run: () => void): void {
    this.time.runAt(Math.max(this.time.now(), this.resumesAtMs), run);
  }

  async delay(milliseconds: number): Promise<void> {
    await this.time.delay(milliseconds);
    await this.untilRunning();
  }

  /** Returns a worker client whose answers this process receives. */
  workerClient(client: workerClient.WorkerClient): workerClient.WorkerClient {
    return {
      start: (...call) => this.receive(client.start(...call)),
      stop: (...call) => this.receive(client.stop(...call)),
      throttle: (...call) => this.receive(client.throttle(...call)),
      renewLeases: (...call) => this.receive(client.renewLeases(...call)),
    };
  }

  /** Returns a store of the journal whose answers this process receives. */
  journalStore(store: jobJournal.JobJournalStore): jobJournal.JobJournalStore {
    return {
      open: term => this.receive(store.open(term)),
      load: onPart => this.receive(store.load(onPart)),
      measure: change => store.measure(change),
      append: (...call) => this.receive(store.append(...call)),
    };
  }

  private async receive<Answer>(call: Promise<Answer>): Promise<Answer> {
    const answer = await call;
    await this.untilRunning();
    return answer;
  }

  private async untilRunning(): Promise<void> {
    while (this.isPaused) {
      await this.time.delay(this.resumesAtMs - this.time.now());
    }
  }
}
