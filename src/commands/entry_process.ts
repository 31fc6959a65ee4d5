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
import type * as sinks from '../operations/sinks.js';
import type * as connectionLimiter from '../links/connection_limiter.js';
import type * as event from '../contracts/event.js';
import type * as settings from '../operations/settings.js';

// A worker has about 60 connections: 12 for short calls and 40 that wait for
// answers leave some to a second owner and to the platform.
const WORKER_CONNECTIONS = {minimum: 2, initial: 4, maximum: 12};
const ANSWER_CONNECTIONS = {minimum: 4, initial: 16, maximum: 40};
const PLATFORM_CONNECTIONS = {minimum: 2, initial: 4, maximum: 8};

type ClosableMetricsSink = sinks.MetricsSink & {close(): Promise<void>};

/** Where an entry process listens. */
export interface EntryAddresses {
  readonly callers: string;
  readonly peers: string;
}

/** Receivers that replace those of the settings. */
export interface SinkOverrides {
  readonly metrics: ClosableMetricsSink;
  readonly logs: sinks.LogSink;
}

/** One entry process: the decision core, its loop and its links. */
export class EntryProcess {
  private readonly clock = new clock.SystemClock();
  private readonly numbers = new callNumberAllocator.CallNumberAllocator();
  private readonly logs: sinks.LogSink;
  private readonly incarnation: string;
  private readonly random = new randomSource.SecureRandom();
  private readonly metrics: ClosableMetricsSink;
  private readonly bytes: byteCounter.ByteCounter;
  private readonly callers: callerServer.CallerServer;
  private readonly peerServer: peerServer.PeerServer;
  private readonly peers: peerLink.PeerLink;
  private readonly httpCallers: pooledHttpClient.PooledHttpClient[] = [];
  private loop: loop.Loop | undefined;
  private shutdownResult: Promise<void> | undefined;
  private signalSuperseded: () => void = () => {};
  private readonly supersededSignal = new Promise<void>(resolve => {
    this.signalSuperseded = resolve;
  });

  constructor(
    private readonly settings: settings.Settings,
    sinks?: SinkOverrides,
  ) {
    const suffix = this.random.hexadecimal(8);
    this.incarnation = `${settings.zone}.${settings.vm}.${suffix}`;
    this.metrics = sinks?.metrics ?? this.buildMetrics();
    this.logs =
      sinks?.logs ??
      new logger.Logger(line => process.stdout.write(`${line}\n`));
    this.bytes = new byteCounter.ByteCounter(this.metrics);
    this.callers = new callerServer.CallerServer({
      callNumbers: this.numbers,
      post: this.post,
      metrics: this.metrics,
      byteCounter: this.bytes,
      limits: {
        maxBodyBytes: settings.bodyLimitBytes,
        maxOpenCalls: settings.openCallLimit,
      },
    });
    this.peerServer = new peerServer.PeerServer(
      this.incarnation,
      this.numbers,
      this.post,
    );
    this.peers = new peerLink.PeerLink({
      processName: this.incarnation,
      openCalls: this.callers,
      post: this.post,
      now: this.now,
      metrics: this.metrics,
      logs: this.logs,
      byteCounter: this.bytes,
    });
  }

  /** Begins to decide and returns where it listens. */
  async start(): Promise<EntryAddresses> {
    const {host, callerPort, peerPort} = this.settings;
    // Other processes learn the address from the log, so it has to be known
    // before the first decision.
    const realPeerPort = await this.peerServer.listen(host, peerPort);
    const core = this.buildCore(`${host}:${realPeerPort}`);
    this.loop = new loop.Loop(core, this.buildLinks(), this.clock);
    const port = await this.callers.listen(host, callerPort);
    this.loop.post({kind: 'timePassed'});
    this.logs.log('info', 'serving', {
      process: this.incarnation,
      host,
      port,
      peerPort: realPeerPort,
    });
    return {callers: `${host}:${port}`, peers: `${host}:${realPeerPort}`};
  }

  /** Finishes what is in progress and closes everything. */
  shutDown(): Promise<void> {
    this.shutdownResult ??= this.drainAndClose();
    return this.shutdownResult;
  }

  /** Resolves when others took over what was here, as after a long pause. */
  superseded(): Promise<void> {
    return this.supersededSignal;
  }

  /** Closes everything at once; what callers wait for has to be asked again. */
  async closeNow(): Promise<void> {
    const {code} = result.RESULT_CODES.unknownOutcome;
    const detail = 'this process was succeeded; ask again';
    await this.callers.closeWithReply({code, detail});
    await this.close();
  }

  private async drainAndClose(): Promise<void> {
    await new gracefulShutdown.GracefulShutdown(this.callers, this.logs).run();
    await this.close();
  }

  private async close(): Promise<void> {
    this.loop?.stop();
    this.peers.close();
    this.peerServer.close();
    await Promise.all(this.httpCallers.map(caller => caller.close()));
    this.bytes.close();
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

  private buildLinks(): entryEffectPerformer.EntryEffectPerformer {
    const {post, now, metrics: sink} = this;
    return new entryEffectPerformer.EntryEffectPerformer({
      callerServer: this.callers,
      workerLink: new workerLink.WorkerLink({
        client: this.buildCaller('worker', WORKER_CONNECTIONS, '/report'),
        answerClient: this.buildCaller('answer', ANSWER_CONNECTIONS, '/report'),
        post,
        now,
        metrics: sink,
      }),
      platformLink: new platformLink.PlatformLink({
        addresses: this.settings,
        // Any answer shows that a connection works, so the path may be unknown.
        client: this.buildCaller('platform', PLATFORM_CONNECTIONS, '/'),
        post,
        now,
        metrics: sink,
      }),
      peerLink: this.peers,
      peerServer: this.peerServer,
      metrics: sink,
      logs: this.logs,
      endProcess: () => this.signalSuperseded(),
    });
  }

  private buildCaller(
    link: string,
    connections: connectionLimiter.ConnectionBounds,
    probePath: string,
  ): pooledHttpClient.PooledHttpClient {
    const caller = new pooledHttpClient.PooledHttpClient({
      connections,
      probePath,
      onSilent: address => {
        const labels = {link, reason: 'deadline'};
        this.metrics.count('silent_connection', labels, 1);
        this.logs.log('warn', 'silentConnection', {...labels, address});
      },
      // Workers are of the own zone; the platform answers from there too.
      onConnected: socket => this.bytes.track(socket, link, this.settings.zone),
    });
    this.httpCallers.push(caller);
    return caller;
  }
}
