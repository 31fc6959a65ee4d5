import * as http from 'node:http';
import * as clock from '../src/machines/clock.js';
import * as workerModel from './worker_model.js';
import * as listen from '../src/links/listen.js';
import * as jsonBody from '../src/links/json_body.js';
import type * as workerClient from '../src/machines/worker_client.js';

/** Interval at which a waiting lease renewal checks for ended runs. */
const POLL_INTERVAL_MS = 10;

/** Rejection reasons as the platform's worker protocol spells them. */
const REJECTION_REASONS: Readonly<Record<string, string>> = {
  superseded: 'fence',
  staleRun: 'old',
  late: 'late',
  noRoom: 'room',
};

type JsonObject = Readonly<Record<string, unknown>>;

/** Stand-in for a worker of the platform, called over HTTP. */
export class PlatformWorker {
  readonly events: workerModel.RunEvent[] = [];
  private readonly server: http.Server;
  private model: workerModel.WorkerModel | undefined;

  constructor(
    readonly id: string,
    private readonly runPlan: workerModel.RunPlan,
  ) {
    this.server = http.createServer((request, response) => {
      void this.serve(request, response);
    });
  }

  /** Starts listening and returns the worker's entry for the registry. */
  async listen(service: string, host: string): Promise<JsonObject> {
    const port = await listen.listen(this.server, host, 0);
    return this.createModelAndEntry(service, `${host}:${port}`);
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private createModelAndEntry(service: string, address: string): JsonObject {
    const capacity = {processors: 4_000, memory: 16_384, accelerators: 0};
    const entry = {
      id: this.id,
      born: Date.now(),
      machine: `machine-${this.id}`,
      address,
      service,
      zone: 'zone-a',
      state: 'ready' as const,
      capacity: {...capacity, slots: 8},
      labels: ['a', 'r1-1'],
    };
    this.model = new workerModel.WorkerModel(
      entry,
      new clock.SystemClock(),
      this.runPlan,
      this.events,
    );
    return {
      service_name: service,
      address,
      zone: entry.zone,
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
    if (request.headers['expect-instance'] !== this.id || !this.model) {
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
  const clockMs = performance.now();
  if (outcome.kind === 'done') {
    jsonBody.sendJson(response, 200, {clock_ms: clockMs});
  } else if (outcome.kind === 'rejected') {
    jsonBody.sendJson(response, 409, {
      clock_ms: clockMs,
      reason: REJECTION_REASONS[outcome.reason],
    });
  }
}
