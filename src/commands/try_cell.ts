import * as entryProcess from './entry_process.js';
import * as firstPublication from '../../stand_ins/first_publication.js';
import * as logService from '../../stand_ins/log_service.js';
import * as settings from '../operations/settings.js';
import * as timers from 'node:timers/promises';
import * as tryDocuments from './try_documents.js';
import * as vmList from '../../stand_ins/vm_list.js';
import * as standInWorker from '../../stand_ins/stand_in_worker.js';
import type * as sinks from '../operations/sinks.js';

const ZONES = ['kigali-a', 'caerdydd-a'] as const;
const ENTRY_VMS_PER_ZONE = 2;
const WORKERS_PER_ZONE = 3;
const WORKER_SLOTS = 8;

/** Metrics sink that keeps counts and waits in memory. */
export class CollectedMetrics implements sinks.MetricsSink {
  private readonly counts = new Map<string, number>();
  private readonly waits: number[] = [];

  count(
    metric: string,
    labels: Readonly<Record<string, string>>,
    value: number,
  ): void {
    const reason = labels['reason'];
    const key = reason === undefined ? metric : `${metric} ${reason}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + value);
  }

  observe(
    metric: string,
    _labels: Readonly<Record<string, string>>,
    milliseconds: number,
  ): void {
    if (metric === 'wait') this.waits.push(milliseconds);
  }

  /** Returns at once, because nothing is buffered. */
  async close(): Promise<void> {}

  /** Returns the total of a counter. */
  total(key: string): number {
    return this.counts.get(key) ?? 0;
  }

  /** Returns the counters whose name begins with `prefix`. */
  matching(prefix: string): ReadonlyMap<string, number> {
    return new Map([...this.counts].filter(([key]) => key.startsWith(prefix)));
  }

  /** Returns a quantile of the wait from request to start, in milliseconds. */
  waitQuantileMs(quantile: number): number {
    const sorted = [...this.waits].sort((left, right) => left - right);
    const position = Math.floor(quantile * (sorted.length - 1));
    return sorted[Math.max(0, position)] ?? 0;
  }
}

/** Cell of two zones with entry processes and stand-ins in this process. */
export class TryCell {
  readonly metrics = new CollectedMetrics();
  readonly warnings: string[] = [];
  private readonly logService = new logService.LogService();
  private readonly vmList = new vmList.VmList();
  private readonly workers: standInWorker.StandInWorker[] = [];
  private readonly entries: entryProcess.EntryProcess[] = [];
  private readonly addressesByZone = new Map<string, string[]>();

  /** Starts all stand-ins and entry processes and publishes the documents. */
  async start(): Promise<void> {
    const logAddress = await this.logService.listen();
    const vmListAddress = await this.vmList.listen();
    for (const document of tryDocuments.TRY_DOCUMENTS) {
      this.publish(document);
    }
    for (const zone of ZONES) {
      for (let index = 0; index < WORKERS_PER_ZONE; index += 1) {
        await this.addWorker(zone, index);
      }
      for (let index = 0; index < ENTRY_VMS_PER_ZONE; index += 1) {
        await this.addEntry(zone, index, logAddress, vmListAddress);
      }
    }
  }

  /** Returns the addresses for callers, by zone. */
  addresses(): ReadonlyMap<string, ReadonlyArray<string>> {
    return this.addressesByZone;
  }

  /** Makes the busiest worker of the second zone fail every task. */
  breakWorker(): void {
    const [busiest] = [...this.workers.slice(WORKERS_PER_ZONE)].sort(
      (left, right) => right.startCounts().size - left.startCounts().size,
    );
    busiest.updateFailures({failsEverything: true});
  }

  /** Returns the fraction of all slots that currently run a task. */
  usedFraction(): number {
    let running = 0;
    for (const item of this.workers) running += item.runningCount();
    return running / (this.workers.length * WORKER_SLOTS);
  }

  /** Returns the number of starts that took a worker over its capacity. */
  overcommitmentCount(): number {
    let total = 0;
    for (const item of this.workers) total += item.overcommitmentCount();
    return total;
  }

  /** Returns the number of appends to the log. */
  appendCount(): number {
    return this.logService.appendCount();
  }

  /** Drains the entry processes, then closes the stand-ins. */
  async stop(): Promise<void> {
    const ended = Promise.all(this.entries.map(entry => entry.shutDown()));
    await Promise.race([ended, timers.setTimeout(10_000)]);
    for (const item of this.workers) item.close();
    this.vmList.close();
    this.logService.close();
  }

  private publish({name, content}: tryDocuments.TryDocument): void {
    const record = firstPublication.encode(name, content, `try ${name}`);
    this.logService.append('configuration', [record]);
  }

  private async addWorker(zone: string, index: number): Promise<void> {
    const name = `${zone}-worker-${index}`;
    const standIn = new standInWorker.StandInWorker({
      name,
      rack: `${zone}-rack-${index % 2}`,
      capacity: {
        processors: 16_000,
        memory: 32_768,
        accelerators: 0,
        slots: WORKER_SLOTS,
      },
      runTimeMs: 200,
    });
    this.workers.push(standIn);
    const address = await standIn.listen();
    this.vmList.put({vm: name, role: 'worker', zone, address, state: 'live'});
  }

  private async addEntry(
    zone: string,
    index: number,
    logAddress: string,
    vmListAddress: string,
  ): Promise<void> {
    const vm = `${zone}-entry-${index}`;
    const text = [
      `vm = "${vm}"`,
      `zone = "${zone}"`,
      `region = "${zone.slice(0, -2)}"`,
      'host = "127.0.0.1"',
      'callerPort = 0',
      'peerPort = 0',
      `log = "${logAddress}"`,
      `vmList = "${vmListAddress}"`,
    ].join('\n');
    const parsedSettings = settings.parseSettings(text).unsafeCoerce();
    const entry = new entryProcess.EntryProcess(parsedSettings, {
      metrics: this.metrics,
      logs: {log: (level, event) => this.recordWarning(vm, level, event)},
    });
    const {callers, peers} = await entry.start();
    const zoneAddresses = this.addressesByZone.get(zone) ?? [];
    this.addressesByZone.set(zone, [...zoneAddresses, callers]);
    this.entries.push(entry);
    this.vmList.put({
      vm,
      role: 'entry',
      zone,
      address: peers,
      state: 'live',
    });
  }

  private recordWarning(vm: string, level: string, event: string): void {
    if (level === 'warn' || level === 'error') {
      this.warnings.push(`${vm} ${event}`);
    }
  }
}
