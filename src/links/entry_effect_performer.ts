import type * as callerServer from './caller_server.js';
import type * as effect from '../contracts/effect.js';
import type * as loop from '../loop.js';
import type * as peerLink from './peer_link.js';
import type * as peerServer from './peer_server.js';
import type * as platformLink from './platform_link.js';
import type * as workerLink from './worker_link.js';
import type * as sinks from '../operations/sinks.js';

/** The links of an entry process. */
export interface EntryLinks {
  readonly callerServer: callerServer.CallerServer;
  readonly workerLink: workerLink.WorkerLink;
  readonly platformLink: platformLink.PlatformLink;
  readonly peerLink: peerLink.PeerLink;
  readonly peerServer: peerServer.PeerServer;
  readonly metrics: sinks.MetricsSink;
  readonly logs: sinks.LogSink;
  /** Ends the process. */
  readonly endProcess: (reason: string) => void;
}

/** Hands each effect to the link that performs it. */
export class EntryEffectPerformer implements loop.EffectPerformer {
  constructor(private readonly links: EntryLinks) {}

  perform(wanted: effect.Effect): void {
    switch (wanted.kind) {
      case 'startTask':
      case 'renewLeases':
      case 'stopTask':
      case 'checkpointTask':
      case 'fetchTaskAnswer':
      case 'throttleTask':
      case 'readReport':
        void this.links.workerLink.perform(wanted);
        return;
      case 'append':
      case 'readStream':
      case 'readVmList':
        void this.links.platformLink.perform(wanted);
        return;
      case 'confirmPeer':
      case 'offerRequest':
      case 'withdrawOffer':
      case 'forwardCall':
      case 'fetchDocuments':
      case 'sendWitness':
      case 'readWitness':
        void this.links.peerLink.perform(wanted);
        return;
      case 'answerConfirm':
      case 'answerOffer':
      case 'answerWithdraw':
      case 'answerDocuments':
      case 'answerWitness':
      case 'answerReadWitness':
        this.links.peerServer.answer(wanted);
        return;
      case 'answerCaller':
        this.answerCaller(wanted.call, wanted.reply);
        return;
      case 'count':
        this.links.metrics.count(wanted.metric, wanted.labels, wanted.value);
        return;
      case 'observe':
        this.links.metrics.observe(
          wanted.metric,
          wanted.labels,
          wanted.milliseconds,
        );
        return;
      case 'log':
        this.links.logs.log(wanted.level, wanted.event, wanted.fields);
        return;
      case 'endProcess':
        this.links.endProcess(wanted.reason);
        return;
      default:
        rejectUnperformed(wanted);
    }
  }

  /** Answers the caller, who may be a caller of another process. */
  private answerCaller(call: number, reply: effect.Reply): void {
    if (this.links.peerServer.answerForwarded(call, reply)) return;
    this.links.callerServer.answer(call, reply);
  }
}

/** Fails to compile when a kind of effect has no link. */
function rejectUnperformed(wanted: never): never {
  throw new Error(`no link performs ${JSON.stringify(wanted)}`);
}
