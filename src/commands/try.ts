import * as commandTypes from 'cmd-ts';
import * as timers from 'node:timers/promises';
import * as undici from 'undici';
import type * as effect from '../contracts/effect.js';
import type * as tryCell from './try_cell.js';

/** Time limit for the processes to join, claim workers and read documents. */
const READY_TIMEOUT_MS = 20_000;

/** Time between two readiness checks of a process. */
const READY_POLL_INTERVAL_MS = 100;

/** Time between two requests of a phase. */
const REQUEST_INTERVAL_MS = 40;

/** Time for which one call waits for the end of its request. */
const CALL_WAIT_SECONDS = 20;

/** Requests of each phase, sent at an interval. */
const PHASE_REQUEST_COUNT = 40;

/** Requests of the flood: several times the capacity of the cell. */
const FLOOD_REQUEST_COUNT = 150;

interface SentRequest {
  readonly team: string;
  readonly workload: string;
  readonly phase: string;
  readonly code: number;
  readonly durationMs: number;
}

interface RequestSource {
  readonly team: string;
  readonly client: string;
  readonly workload: string;
}

const ORDERS: RequestSource = {
  team: 'dispatch',
  client: 'workshop',
  workload: 'polish-order',
};
const INSPECTIONS: RequestSource = {...ORDERS, workload: 'inspection-run'};
const CERTIFICATES: RequestSource = {
  team: 'office',
  client: 'solicitor-desk',
  workload: 'certificate-batch',
};
const ROUTES: RequestSource = {...CERTIFICATES, workload: 'route-plan'};

/** Runs sample workloads on an embedded cell and prints the results. */
class TryRun {
  private readonly sentRequests: SentRequest[] = [];
  private readonly usedFractions: number[] = [];
  private nextAddressIndex = 0;

  constructor(private readonly cell: tryCell.TryCell) {}

  async run(): Promise<void> {
    await this.waitUntilReady();
    await this.runPhase(
      'calm',
      [ORDERS, INSPECTIONS, CERTIFICATES, ROUTES],
      PHASE_REQUEST_COUNT,
    );
    await this.runFlood();
    this.cell.breakWorker();
    console.log('one worker now fails every task');
    await this.runPhase(
      'broken worker',
      [CERTIFICATES, ROUTES],
      PHASE_REQUEST_COUNT,
    );
    this.printReport();
  }

  private async waitUntilReady(): Promise<void> {
    const startedAtMs = performance.now();
    for (const addresses of this.cell.addresses().values()) {
      for (const address of addresses) {
        await this.waitForAddress(address, startedAtMs + READY_TIMEOUT_MS);
      }
    }
    const seconds = (performance.now() - startedAtMs) / 1_000;
    console.log(`ready after ${seconds.toFixed(1)} s`);
  }

  private async waitForAddress(
    address: string,
    deadlineMs: number,
  ): Promise<void> {
    for (;;) {
      const answer = await undici.request(`http://${address}/ready`);
      await answer.body.dump();
      if (answer.statusCode === 200) return;
      if (performance.now() > deadlineMs) {
        throw new Error(
          `${address} was not ready within ${READY_TIMEOUT_MS} ms`,
        );
      }
      await timers.setTimeout(READY_POLL_INTERVAL_MS);
    }
  }

  private async runPhase(
    name: string,
    sources: ReadonlyArray<RequestSource>,
    count: number,
  ): Promise<void> {
    const pending: Array<Promise<void>> = [];
    for (let index = 0; index < count; index += 1) {
      pending.push(this.send(sources[index % sources.length], name));
      this.usedFractions.push(this.cell.usedFraction());
      await timers.setTimeout(REQUEST_INTERVAL_MS);
    }
    await Promise.all(pending);
    this.printPhase(name);
  }

  private async runFlood(): Promise<void> {
    const flood: Array<Promise<void>> = [];
    for (let index = 0; index < FLOOD_REQUEST_COUNT; index += 1) {
      flood.push(this.send(ORDERS, 'flood'));
    }
    await this.runPhase(
      'during the flood',
      [CERTIFICATES, ROUTES],
      PHASE_REQUEST_COUNT,
    );
    await Promise.all(flood);
    this.printPhase('flood');
  }

  private async send(source: RequestSource, phase: string): Promise<void> {
    const startedAtMs = performance.now();
    const identity = await this.reserveIdentity(source);
    const reply = await this.call(
      source,
      'PUT',
      `/v1/requests/${identity}?wait=${CALL_WAIT_SECONDS}`,
      {team: source.team, workload: source.workload, payload: '{}'},
    );
    const durationMs = performance.now() - startedAtMs;
    const {team, workload} = source;
    this.sentRequests.push({
      team,
      workload,
      phase,
      code: reply.code,
      durationMs,
    });
  }

  private async reserveIdentity(source: RequestSource): Promise<string> {
    const reply = await this.call(source, 'POST', '/v1/identities', {count: 1});
    return reply.identities?.[0] ?? '';
  }

  private async call(
    source: RequestSource,
    method: 'POST' | 'PUT',
    path: string,
    body: unknown,
  ): Promise<effect.Reply> {
    const zone = source.team === 'dispatch' ? 'kigali-a' : 'caerdydd-a';
    const addresses = this.cell.addresses().get(zone) ?? [];
    this.nextAddressIndex += 1;
    const address = addresses[this.nextAddressIndex % addresses.length];
    const answer = await undici.request(`http://${address}${path}`, {
      method,
      headers: {'x-client': source.client},
      body: JSON.stringify(body),
    });
    return (await answer.body.json()) as effect.Reply;
  }

  private printPhase(phase: string): void {
    const sent = this.sentRequests.filter(item => item.phase === phase);
    const finished = sent.filter(item => item.code === 0).length;
    console.log(
      `${phase.padEnd(18)} sent ${String(sent.length).padStart(3)}` +
        `  finished ${String(finished).padStart(3)}` +
        `  median ${median(sent).toFixed(0)} ms`,
    );
  }

  private printReport(): void {
    const {metrics} = this.cell;
    const calm = this.sentRequests.filter(
      item => item.phase === 'calm' && item.team === 'office',
    );
    const flooded = this.sentRequests.filter(
      item => item.phase === 'during the flood',
    );
    const finished = flooded.filter(item => item.code === 0).length;
    const bytes = metrics.total('bytes_sent') + metrics.total('bytes_received');
    const usedPeak = Math.max(...this.usedFractions);
    console.log('\nmeasurement                              value');
    printValue(
      'wait to start, median',
      `${metrics.waitQuantileMs(0.5).toFixed(1)} ms`,
    );
    printValue(
      'wait to start, p99',
      `${metrics.waitQuantileMs(0.99).toFixed(1)} ms`,
    );
    printValue('slots in use, peak', `${(usedPeak * 100).toFixed(0)} %`);
    printValue('starts over capacity', `${this.cell.overcommitmentCount()}`);
    printValue('log appends', `${this.cell.appendCount()}`);
    printValue('bytes sent and received', `${bytes}`);
    printValue(
      'office requests finished in the flood',
      `${finished} of ${flooded.length}`,
    );
    printValue(
      'office median, calm and during the flood',
      `${median(calm).toFixed(0)} and ${median(flooded).toFixed(0)} ms`,
    );
    this.printOutcomes();
  }

  private printOutcomes(): void {
    console.log('\nworkload             code  requests');
    const outcomes = new Map<string, number>();
    for (const item of this.sentRequests) {
      const key = `${item.workload.padEnd(18)}  ${String(item.code).padStart(5)}`;
      outcomes.set(key, (outcomes.get(key) ?? 0) + 1);
    }
    for (const [key, count] of [...outcomes].sort()) {
      console.log(`${key}  ${String(count).padStart(8)}`);
    }
    const counted = this.cell.metrics.matching('re');
    for (const [key, count] of [...counted].sort()) {
      console.log(`counter ${key}: ${count}`);
    }
  }
}

function median(sent: ReadonlyArray<SentRequest>): number {
  const sorted = sent
    .map(item => item.durationMs)
    .sort((left, right) => left - right);
  return sorted[sorted.length >> 1] ?? 0;
}

function printValue(name: string, figure: string): void {
  console.log(`${name.padEnd(40)} ${figure}`);
}

/** The command `try`: a demonstration on an embedded cell, under a minute. */
export const tryCommand = commandTypes.command({
  name: 'try',
  description: 'Runs a small cell in this process and prints measurements',
  args: {},
  handler: async () => {
    // Imported lazily, so that other commands do not load the stand-ins.
    const {TryCell} = await import('./try_cell.js');
    const cell = new TryCell();
    await cell.start();
    await new TryRun(cell).run();
    await cell.stop();
    process.exit(0);
  },
});
