import type * as callerServer from './caller_server.js';
import type * as effect from '../contracts/effect.js';
import type * as loop from '../loop.js';
import type * as peerLink from './peer_link.js';
import type * as peerServer from './peer_server.js';
import type * as platformLink from './platform_link.js';
import type * as workerLink from './worker_link.js';
import type * as sinks from '../operations/sinks.js';

/** Links and sinks of an entry process. */
export interface EntryLinks {
  readonly callerServer: callerServer.CallerServer;
  readonly workerLink: workerLink.WorkerLink;
  readonly platformLink: platformLink.PlatformLink;
  readonly peerLink: peerLink.PeerLink;
  readonly peerServer: peerServer.PeerServer;
  readonly metrics: sinks.MetricsSink;
  readonly logs: sinks.LogSink;
  /** Terminates the process. */
  readonly endProcess: (reason: string) => void;
}

/** Routes each effect to the link or sink that performs it. */
export class EntryEffectPerformer implements loop.EffectPerformer {
  constructor(private readonly links: EntryLinks) {}

  perform(entryEffect: effect.Effect): void {
    switch (entryEffect.kind) {
      case 'startTask':
      case 'renewLeases':
      case 'stopTask':
      case 'checkpointTask':
      case 'fetchTaskAnswer':
      case 'throttleTask':
      case 'readReport':
        void this.links.workerLink.perform(entryEffect);
        return;
      case 'append':
      case 'readStream':
      case 'readVmList':
        void this.links.platformLink.perform(entryEffect);
        return;
      case 'confirmPeer':
      case 'offerRequest':
      case 'withdrawOffer':
      case 'forwardCall':
      case 'fetchDocuments':
      case 'sendWitness':
      case 'readWitness':
        void this.links.peerLink.perform(entryEffect);
        return;
      case 'answerConfirm':
      case 'answerOffer':
      case 'answerWithdraw':
      case 'answerDocuments':
      case 'answerWitness':
      case 'answerReadWitness':
        this.links.peerServer.answer(entryEffect);
        return;
      case 'answerCaller':
        this.answerCaller(entryEffect.call, entryEffect.reply);
        return;
      case 'count':
        this.links.metrics.count(
          entryEffect.metric,
          entryEffect.labels,
          entryEffect.value,
        );
        return;
      case 'observe':
        this.links.metrics.observe(
          entryEffect.metric,
          entryEffect.labels,
          entryEffect.milliseconds,
        );
        return;
      case 'log':
        this.links.logs.log(
          entryEffect.level,
          entryEffect.event,
          entryEffect.fields,
        );
        return;
      case 'endProcess':
        this.links.endProcess(entryEffect.reason);
        return;
      default:
        throwUnhandledEffect(entryEffect);
    }
  }

  /** Answers a caller of this process, or one whose call a peer forwarded. */
  private answerCaller(call: number, reply: effect.Reply): void {
    if (this.links.peerServer.answerForwarded(call, reply)) return;
    this.links.callerServer.answer(call, reply);
  }
}

/** Makes the compiler reject a kind of effect without a link. */
function throwUnhandledEffect(unhandledEffect: never): never {
  throw new Error(`no link performs ${JSON.stringify(unhandledEffect)}`);
}
