import * as http from 'node:http';
import * as clock from '../src/machines/clock.js';
import * as workerModel from './worker_model.js';
import * as listen from '../src/links/listen.js';
import * as jsonBody from '../src/links/json_body.js';
import type * as workerClient from '../src/machines/worker_client.js';

/** Interval at which a waiting lease renewal checks for ended runs. */
const POLL_INTERVAL_MS = 10;

/** Interval at which due ends of runs and of the lease take effect. */
const DUE_END_INTERVAL_MS = 10;

/** Rejection reasons as the platform's worker protocol spells them. */
const REJECTION_REASONS: Readonly<Record<string, string>> = {
  superseded: 'fence',
  staleRun: 'old',
  late: 'late',
  noRoom: 'room',
};

type JsonObject = Readonly<Record<string, unknown>>;

/** Where a worker is and how it behaves. */
export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly runPlan: workerModel.RunPlan;
  /** Rate of the worker's clock; below 1 it runs slow. */
  readonly clockRate: number;
}

/** Stand-in for a worker of the platform, called over HTTP. */
export class PlatformWorker {
  readonly events: workerModel.RunEvent[] = [];
  readonly acknowledgedEnds: workerModel.AcknowledgedEnd[] = [];
  private readonly server: http.Server;
  private readonly timer: NodeJS.Timeout;
  private listeningAddress = '';
  private model: workerModel.WorkerModel | undefined;

  constructor(private readonly options: WorkerOptions) {
    this.server = http.createServer((request, response) => {
      void this.serve(request, response);
    });
    this.timer = setInterval(
      () => this.model?.endDueRuns(),
      DUE_END_INTERVAL_MS,
    );
  }

  get id(): string {
    return this.options.id;
  }

  get zone(): string {
    return this.options.zone;
  }

  /** Address at which the worker listens, in all its incarnations. */
  get address(): string {
    return this.listeningAddress;
  }

  /** Whether the worker has crashed and not come back. */
  get isDown(): boolean {
    return this.model === undefined;
  }

  /** Starts listening and returns the worker's entry for the registry. */
  async listen(host: string): Promise<JsonObject> {
    const port = await listen.listen(this.server, host, 0);
    this.listeningAddress = `${host}:${port}`;
    return this.createModelAndEntry(0);
  }

  /** Loses all runs and state; calls get no answer until `comeBack`. */
  crash(): void {
    this.model?.crash();
    this.model = undefined;
    this.server.closeAllConnections();
  }

  /**
   * Starts the next incarnation at the same address, with a clock that begins
   * anew, and returns its entry for the registry.
   */
  comeBack(): JsonObject {
    return this.createModelAndEntry(performance.now());
  }

  close(): void {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  private createModelAndEntry(clockStartMs: number): JsonObject {
    const {id, service, zone, runPlan, clockRate} = this.options;
    const {address} = this;
    const capacity = {processors: 4_000, memory: 16_384, accelerators: 0};
    const entry = {
      id,
      born: Date.now(),
      machine: `machine-${id}`,
      address,
      service,
      zone,
      state: 'ready' as const,
      capacity: {...capacity, slots: 8},
      labels: ['a', 'r1-1'],
    };
    this.model = new workerModel.WorkerModel(
      entry,
      new clock.SystemClock(),
      runPlan,
      this.events,
      this.acknowledgedEnds,
      clockStartMs,
      clockRate,
    );
    return {
      service_name: service,
      address,
      zone,
      version: 'v1',
      slots: 8,
      state: entry.state,
      cold_left_ms: 0,
      capacity: {cpu: 4_000, mem_mb: 16_384, gpu: 0},
      labels: entry.labels,
      born: entry.born,
      machine: entry.machine,
      seq: 1,
    };
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = jsonBody.parseJsonObject(Buffer.concat(chunks).toString());
    if (body === undefined) {
      // The caller gave the call up before its body was complete.
      jsonBody.sendJson(response, 400, {});
      return;
    }
    if (this.model === undefined) {
      request.destroy();
      return;
    }
    if (request.headers['expect-instance'] !== this.id) {
      jsonBody.sendJson(response, 421, {});
      return;
    }
    const {model} = this;
    switch (request.url) {
      case '/run-start':
        sendOutcome(response, model.start(parseStartCommand(body)));
        return;
      case '/run-stop':
        sendOutcome(
          response,
          model.stop(parseRunId(body), parseFencingToken(body)),
        );
        return;
      case '/hold':
        await this.serveRenewal(model, body, response);
        return;
      default:
        jsonBody.sendJson(response, 404, {});
    }
  }

  private async serveRenewal(
    model: workerModel.WorkerModel,
    body: JsonObject,
    response: http.ServerResponse,
  ): Promise<void> {
    const command: workerClient.RenewalCommand = {
      fencingToken: parseFencingToken(body),
      storedEndNumber: Number(body.ack_cursor),
      deadlineMs:
        body.deadline_ms === undefined ? undefined : Number(body.deadline_ms),
      waitMs: Number(body.wait_ms),
    };
    let outcome = model.renewLeases(command);
    const waitEndMs = performance.now() + command.waitMs;
    while (!model.hasEndedRuns && performance.now() < waitEndMs) {
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    if (model.crashed) {
      response.destroy();
      return;
    }
    if (outcome.kind === 'reported') {
      outcome = model.renewLeases({...command, deadlineMs: undefined});
    }
    if (outcome.kind !== 'reported') {
      jsonBody.sendJson(response, 409, {reason: 'fence'});
      return;
    }
    const {clockMs, born, running, ended} = outcome.report;
    jsonBody.sendJson(response, 200, {
      clock_ms: clockMs,
      born,
      running: running.map(run => [
        run.task,
        run.run,
        run.checkpoint,
        run.percent,
        run.usage,
      ]),
      finished: ended.map(runEnd => [
        runEnd.sequenceNumber,
        runEnd.task,
        runEnd.run,
        runEnd.endKind,
        runEnd.checkpoint,
      ]),
    });
  }
}

function parseStartCommand(body: JsonObject): workerClient.StartCommand {
  return {
    ...parseRunId(body),
    payload: String(body.spec),
    fencingToken: parseFencingToken(body),
    deadlineMs: Number(body.deadline_ms),
    checkpoint: typeof body.checkpoint === 'string' ? body.checkpoint : '',
    ticket: typeof body.ticket === 'string' ? body.ticket : undefined,
  };
}

function parseRunId(body: JsonObject): {task: string; run: number} {
  return {task: String(body.task), run: Number(body.run)};
}

function parseFencingToken(body: JsonObject): number {
  return Number(body.fencing_token ?? 0);
}

function sendOutcome(
  response: http.ServerResponse,
  outcome: workerClient.CommandOutcome,
): void {
  if (outcome.kind === 'done') {
    jsonBody.sendJson(response, 200, {clock_ms: outcome.clockMs});
  } else if (outcome.kind === 'rejected') {
    jsonBody.sendJson(response, 409, {
      clock_ms: outcome.clockMs,
      reason: REJECTION_REASONS[outcome.reason],
    });
  }
}
