import * as byteCounter from '../links/byte_counter.js';
import * as callNumberAllocator from '../links/call_number_allocator.js';
import * as callerServer from '../links/caller_server.js';
import * as clock from '../machines/clock.js';
import * as entryEffectPerformer from '../links/entry_effect_performer.js';
import * as entryVm from '../machines/entry_vm.js';
import * as gracefulShutdown from './graceful_shutdown.js';
import * as pooledHttpClient from '../links/pooled_http_client.js';
import * as logger from '../operations/logger.js';
import * as loop from '../loop.js';
import * as metrics from '../operations/metrics.js';
import * as peerLink from '../links/peer_link.js';
import * as peerServer from '../links/peer_server.js';
import * as platformLink from '../links/platform_link.js';
import * as randomSource from '../machines/random_source.js';
import * as result from '../result.js';
import * as tomlDocumentReader from '../links/toml_document_reader.js';
import * as workerLink from '../links/worker_link.js';
import * as responseTimer from '../machines/response_timer.js';
import type * as sinks from '../operations/sinks.js';
import type * as connectionLimiter from '../links/connection_limiter.js';
import type * as event from '../contracts/event.js';
import type * as settings from '../operations/settings.js';

// A worker accepts about 60 connections. Using 12 for short calls and 40 for
// pending answers leaves some for a second owner and for the platform.
const WORKER_CONNECTION_BOUNDS = {minimum: 2, initial: 4, maximum: 12};
const ANSWER_CONNECTION_BOUNDS = {minimum: 4, initial: 16, maximum: 40};
const PLATFORM_CONNECTION_BOUNDS = {minimum: 2, initial: 4, maximum: 8};

type ClosableMetricsSink = sinks.MetricsSink & {close(): Promise<void>};

/** Addresses on which an entry process listens. */
export interface EntryAddresses {
  readonly callers: string;
  readonly peers: string;
}

/** Metrics and log sinks that replace those of the settings. */
export interface SinkOverrides {
  readonly metrics: ClosableMetricsSink;
  readonly logs: sinks.LogSink;
}

/** Entry process: the decision core, its event loop and its links. */
export class EntryProcess {
  private readonly clock = new clock.SystemClock();
  private readonly responseTimer = new responseTimer.LoopTimer(this.clock);
  private readonly callNumbers = new callNumberAllocator.CallNumberAllocator();
  private readonly logs: sinks.LogSink;
  private readonly incarnation: string;
  private readonly random = new randomSource.SecureRandom();
  private readonly metrics: ClosableMetricsSink;
  private readonly byteCounter: byteCounter.ByteCounter;
  private readonly callerServer: callerServer.CallerServer;
  private readonly peerServer: peerServer.PeerServer;
  private readonly peerLink: peerLink.PeerLink;
  private readonly httpClients: pooledHttpClient.PooledHttpClient[] = [];
  private loop: loop.Loop | undefined;
  private shutdownResult: Promise<void> | undefined;
  private signalSuperseded: () => void = () => {};
  private readonly supersededSignal = new Promise<void>(resolve => {
    this.signalSuperseded = resolve;
  });

  constructor(
    private readonly settings: settings.Settings,
    sinkOverrides?: SinkOverrides,
  ) {
    const suffix = this.random.hexadecimal(8);
    this.incarnation = `${settings.zone}.${settings.vm}.${suffix}`;
    this.metrics = sinkOverrides?.metrics ?? this.buildMetrics();
    this.logs =
      sinkOverrides?.logs ??
      new logger.Logger(line => process.stdout.write(`${line}\n`));
    this.byteCounter = new byteCounter.ByteCounter(this.metrics);
    this.callerServer = new callerServer.CallerServer({
      callNumbers: this.callNumbers,
      post: this.post,
      metrics: this.metrics,
      byteCounter: this.byteCounter,
      limits: {
        maximumBodyBytes: settings.bodyLimitBytes,
        maximumOpenCalls: settings.openCallLimit,
      },
    });
    this.peerServer = new peerServer.PeerServer(
      this.incarnation,
      this.callNumbers,
      this.post,
    );
    this.peerLink = new peerLink.PeerLink({
      timer: this.responseTimer,
      processName: this.incarnation,
      openCalls: this.callerServer,
      post: this.post,
      now: this.now,
      metrics: this.metrics,
      logs: this.logs,
      byteCounter: this.byteCounter,
    });
  }

  /** Starts the servers and the loop, and returns the addresses. */
  async start(): Promise<EntryAddresses> {
    const {host, callerPort, peerPort} = this.settings;
    // The core publishes the peer address in the log, so the port must be known
    // before the first decision.
    const boundPeerPort = await this.peerServer.listen(host, peerPort);
    const core = this.buildCore(`${host}:${boundPeerPort}`);
    this.loop = new loop.Loop(core, this.buildEffectPerformer(), this.clock);
    const port = await this.callerServer.listen(host, callerPort);
    this.loop.post({kind: 'timePassed'});
    this.logs.log('info', 'serving', {
      process: this.incarnation,
      host,
      port,
      peerPort: boundPeerPort,
    });
    return {callers: `${host}:${port}`, peers: `${host}:${boundPeerPort}`};
  }

  /** Drains the requests in progress and closes all links. */
  shutDown(): Promise<void> {
    this.shutdownResult ??= this.drainAndClose();
    return this.shutdownResult;
  }

  /** Resolves when other processes have taken over, e.g. after a long pause. */
  waitUntilSuperseded(): Promise<void> {
    return this.supersededSignal;
  }

  /** Closes all links without draining; callers have to repeat open calls. */
  async closeNow(): Promise<void> {
    const {code} = result.RESULT_CODES.unknownOutcome;
    const detail = 'another process took over from this one; ask again';
    await this.callerServer.closeWithReply({code, detail});
    await this.close();
  }

  private async drainAndClose(): Promise<void> {
    await new gracefulShutdown.GracefulShutdown(
      this.callerServer,
      this.logs,
    ).run();
    await this.close();
  }

  private async close(): Promise<void> {
    this.loop?.stop();
    this.peerLink.close();
    this.peerServer.close();
    await Promise.all(this.httpClients.map(client => client.close()));
    this.byteCounter.close();
    await this.metrics.close();
  }

  private readonly post = (posted: event.Event): void => {
    this.loop?.post(posted);
  };

  private readonly now = (): clock.Milliseconds => this.clock.now();

  private buildCore(address: string): entryVm.EntryVm {
    const {vm, zone, region} = this.settings;
    const {logRetentionMs, logStalenessMs, appendIntervalMs} = this.settings;
    return new entryVm.EntryVm({
      self: {process: this.incarnation, vm, zone, region, address},
      reader: new tomlDocumentReader.TomlDocumentReader(),
      random: this.random,
      logOptions: {
        retentionMs: logRetentionMs,
        stalenessMs: logStalenessMs,
        appendIntervalMs,
      },
    });
  }

  private buildMetrics(): ClosableMetricsSink {
    const {metricsHost, metricsPort} = this.settings;
    if (metricsPort === 0) return new metrics.NullMetrics();
    return new metrics.StatsdMetrics(
      metricsHost,
      metricsPort,
      this.incarnation,
    );
  }

  private buildEffectPerformer(): entryEffectPerformer.EntryEffectPerformer {
    const {post, now, metrics: sink} = this;
    return new entryEffectPerformer.EntryEffectPerformer({
      callerServer: this.callerServer,
      workerLink: new workerLink.WorkerLink({
        client: this.buildClient('worker', WORKER_CONNECTION_BOUNDS, '/report'),
        answerClient: this.buildClient(
          'answer',
          ANSWER_CONNECTION_BOUNDS,
          '/report',
        ),
        post,
        now,
        metrics: sink,
      }),
      platformLink: new platformLink.PlatformLink({
        addresses: this.settings,
        // Any answer, even for an unknown path, shows that a connection works.
        client: this.buildClient('platform', PLATFORM_CONNECTION_BOUNDS, '/'),
        post,
        now,
        metrics: sink,
      }),
      peerLink: this.peerLink,
      peerServer: this.peerServer,
      metrics: sink,
      logs: this.logs,
      endProcess: () => this.signalSuperseded(),
    });
  }

  private buildClient(
    link: string,
    connections: connectionLimiter.ConnectionBounds,
    probePath: string,
  ): pooledHttpClient.PooledHttpClient {
    const client = new pooledHttpClient.PooledHttpClient({
      timer: this.responseTimer,
      connections,
      probePath,
      onSilent: address => {
        const labels = {link, reason: 'deadline'};
        this.metrics.count('silent_connection', labels, 1);
        this.logs.log('warn', 'silentConnection', {...labels, address});
      },
      // Workers and the platform's endpoints are in the same zone as this VM.
      onConnected: socket =>
        this.byteCounter.track(socket, link, this.settings.zone),
    });
    this.httpClients.push(client);
    return client;
  }
}
