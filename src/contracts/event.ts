import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as task from './task.js';

/** Identifies one open call of a caller or an operator. */
export type CallNumber = number;

/** A call that a client or an operator made. */
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
      /** Version that the change was made from; 0 for a new document. */
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

/** Something that a worker answered or failed to answer. */
export type WorkerEvent =
  | {
      readonly kind: 'startAnswered';
      readonly worker: string;
      readonly task: string;
      /** `lost`: no answer; the task may run. */
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
      /** No whole answer came; the task itself may have ended or not. */
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

/** Something that the platform's log or VM list answered. */
export type PlatformEvent =
  | {
      readonly kind: 'recordsRead';
      readonly stream: string;
      /** When the read was sent: the records are at least as new as this. */
      readonly sentAt: clock.Milliseconds;
      /** Earliest offset that the log still keeps. */
      readonly first: number;
      /** Offset that the next append will get, as far as the log says. */
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

/** Versions of the configuration documents that a process has in force. */
export interface DocumentVersion {
  readonly name: string;
  readonly version: number;
}

/** What a zone says of itself to other zones. */
export interface ZoneSummary {
  readonly zone: string;
  readonly freeProcessors: number;
  readonly freeMemory: number;
  readonly freeAccelerators: number;
  readonly expectedWaitMs: clock.Milliseconds;
  readonly workerCount: number;
}

/** The part of a confirmation that both directions carry. */
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

/** Something that another entry process asked or answered. */
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
      /** Counts the offers of the request; 0 when the sender gives none. */
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
      /** Withdraws offers up to this number; 0 when the sender gives none. */
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
      /** The caller's call that was passed on. */
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
      /** False when the peer gave no answer or was not a witness throughout. */
      readonly complete: boolean;
      readonly entries: ReadonlyArray<string>;
    };

/** Everything that the loop can hand to the decision core. */
export type Event =
  | CallEvent
  | WorkerEvent
  | PlatformEvent
  | PeerEvent
  | {readonly kind: 'timePassed'};
