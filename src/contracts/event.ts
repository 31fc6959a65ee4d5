import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as task from './task.js';

/** Identifies one open call of a caller or an operator. */
export type CallNumber = number;

/** A call from a client or an operator, or its end. */
export type CallEvent =
  | {
      readonly kind: 'identitiesArrived';
      readonly call: CallNumber;
      readonly client: string;
      readonly count: number;
    }
  | {
      readonly kind: 'requestArrived';
      readonly call: CallNumber;
      readonly client: string;
      /** Absent for a request that may run without a reserved identity. */
      readonly identity?: string;
      readonly submission: request.Submission;
      readonly waitMs: clock.Milliseconds;
    }
  | {
      readonly kind: 'fetchArrived';
      readonly call: CallNumber;
      readonly client: string;
      readonly identity: string;
      readonly waitMs: clock.Milliseconds;
    }
  | {
      readonly kind: 'cancelArrived';
      readonly call: CallNumber;
      readonly client: string;
      readonly identity: string;
    }
  | {
      readonly kind: 'explainArrived';
      readonly call: CallNumber;
      readonly client: string;
      readonly identity: string;
    }
  | {readonly kind: 'statusArrived'; readonly call: CallNumber}
  | {readonly kind: 'workloadsArrived'; readonly call: CallNumber}
  | {
      readonly kind: 'documentFetchArrived';
      readonly call: CallNumber;
      readonly document: string;
    }
  | {
      readonly kind: 'publishArrived';
      readonly call: CallNumber;
      readonly document: string;
      /** Version that the change is based on; 0 for a new document. */
      readonly baseVersion: number;
      readonly content: string;
      readonly publication: string;
    }
  | {
      readonly kind: 'drainArrived';
      readonly call: CallNumber;
      /** Worker to drain; absent to drain this process. */
      readonly worker?: string;
    }
  | {readonly kind: 'callEnded'; readonly call: CallNumber};

/** An answer from a worker, or the failure to get one. */
export type WorkerEvent =
  | {
      readonly kind: 'startAnswered';
      readonly worker: string;
      readonly task: string;
      /** `lost`: no answer arrived, and the task may be running. */
      readonly answer: 'started' | 'refused' | 'lost';
      readonly detail: string;
    }
  | {
      readonly kind: 'reportArrived';
      readonly report: task.WorkerReport;
      readonly sentAt: clock.Milliseconds;
    }
  | {readonly kind: 'reportFailed'; readonly worker: string}
  | {
      readonly kind: 'taskAnswerArrived';
      readonly worker: string;
      readonly task: string;
      readonly state: Exclude<task.TaskState, 'running'>;
      readonly answer: string;
    }
  | {
      /** No complete answer arrived; the task may or may not have ended. */
      readonly kind: 'taskAnswerLost';
      readonly worker: string;
      readonly task: string;
    }
  | {
      readonly kind: 'stopAnswered';
      readonly worker: string;
      readonly task: string;
      readonly done: boolean;
    };

/** One record of a log stream. */
export interface StreamRecord {
  readonly offset: number;
  readonly data: string;
}

/** An answer from the platform's log or VM list, or the failure to get one. */
export type PlatformEvent =
  | {
      readonly kind: 'recordsRead';
      readonly stream: string;
      /** When the read was sent; the records are at least as recent. */
      readonly sentAt: clock.Milliseconds;
      /** Lowest offset that the log retains. */
      readonly first: number;
      /** Offset of the next append, as reported by the log. */
      readonly next: number;
      readonly records: ReadonlyArray<StreamRecord>;
    }
  | {readonly kind: 'readFailed'; readonly stream: string}
  | {
      readonly kind: 'appendAnswered';
      readonly stream: string;
      readonly append: number;
      /** `lost`: the append may or may not have taken effect. */
      readonly answer: 'appended' | 'lost';
    }
  | {
      readonly kind: 'vmListRead';
      readonly sentAt: clock.Milliseconds;
      readonly vms: ReadonlyArray<ListedVm>;
    }
  | {readonly kind: 'vmListFailed'};

/** One row of the platform's VM list. */
export interface ListedVm {
  readonly vm: string;
  readonly role: 'entry' | 'worker';
  readonly zone: string;
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** Version of one configuration document that a process has in force. */
export interface DocumentVersion {
  readonly name: string;
  readonly version: number;
}

/** Free capacity and load of a zone, as announced to other zones. */
export interface ZoneSummary {
  readonly zone: string;
  readonly freeProcessors: number;
  readonly freeMemory: number;
  readonly freeAccelerators: number;
  readonly expectedWaitMs: clock.Milliseconds;
  readonly workerCount: number;
}

/** Status of a process that both messages of a confirmation carry. */
export interface PeerStatus {
  readonly from: string;
  readonly zone: string;
  readonly address: string;
  readonly documents: ReadonlyArray<DocumentVersion>;
  readonly leavingWorkers: ReadonlyArray<string>;
  readonly summaries: ReadonlyArray<ZoneSummary>;
  readonly leaving: boolean;
}

/** A configuration document at one version. */
export interface Document {
  readonly name: string;
  readonly version: number;
  readonly content: string;
}

/** A call or an answer from another entry process, or a failed call to it. */
export type PeerEvent =
  | {
      readonly kind: 'confirmArrived';
      readonly call: CallNumber;
      readonly to: string;
      readonly zonePosition: number;
      readonly status: PeerStatus;
    }
  | {
      readonly kind: 'confirmAnswered';
      readonly peer: string;
      readonly sentAt: clock.Milliseconds;
      readonly confirmed: boolean;
      readonly zoneRecords: ReadonlyArray<StreamRecord>;
      readonly status: PeerStatus;
    }
  | {readonly kind: 'confirmFailed'; readonly peer: string}
  | {
      readonly kind: 'offerArrived';
      readonly call: CallNumber;
      readonly from: string;
      readonly to: string;
      readonly identity: string;
      /** Number of the offer within its request; 0 if the sender gives none. */
      readonly attempt?: number;
      readonly client: string;
      readonly submission: request.Submission;
      readonly remainingMs: clock.Milliseconds;
    }
  | {
      readonly kind: 'offerAnswered';
      readonly peer: string;
      readonly identity: string;
      readonly code: number;
      readonly answer: string;
    }
  | {
      readonly kind: 'offerLost';
      readonly peer: string;
      readonly identity: string;
    }
  | {
      readonly kind: 'withdrawArrived';
      readonly call: CallNumber;
      readonly from: string;
      readonly to: string;
      readonly identity: string;
      /** Number of the last offer to withdraw; 0 if the sender gives none. */
      readonly attempt?: number;
    }
  | {
      readonly kind: 'withdrawAnswered';
      readonly peer: string;
      readonly identity: string;
      readonly code: number;
    }
  | {
      readonly kind: 'forwardAnswered';
      /** The caller's call that was forwarded. */
      readonly call: CallNumber;
      readonly code: number;
      readonly body: string;
    }
  | {readonly kind: 'forwardFailed'; readonly call: CallNumber}
  | {
      readonly kind: 'documentsArrived';
      readonly documents: ReadonlyArray<Document>;
    }
  | {
      readonly kind: 'fetchDocumentsArrived';
      readonly call: CallNumber;
      readonly have: ReadonlyArray<DocumentVersion>;
    }
  | {
      readonly kind: 'witnessArrived';
      readonly call: CallNumber;
      readonly from: string;
      readonly to: string;
      readonly entries: ReadonlyArray<string>;
    }
  | {
      readonly kind: 'witnessAnswered';
      readonly peer: string;
      readonly batch: number;
      readonly stored: boolean;
    }
  | {
      readonly kind: 'readWitnessArrived';
      readonly call: CallNumber;
      readonly process: string;
    }
  | {
      readonly kind: 'readWitnessAnswered';
      readonly peer: string;
      readonly process: string;
      /**
       * False if the peer did not answer or has not been a witness since
       * before the process joined.
       */
      readonly complete: boolean;
      readonly entries: ReadonlyArray<string>;
    };

/** All events that the loop can pass to the decision core. */
export type Event =
  | CallEvent
  | WorkerEvent
  | PlatformEvent
  | PeerEvent
  | {readonly kind: 'timePassed'};
