import type * as resources from '../machines/resources.js';
import type * as event from './event.js';
import type * as request from './request.js';
import type * as task from './task.js';

/** An action towards a worker. */
export type WorkerEffect =
  | {
      readonly kind: 'startTask';
      readonly worker: string;
      readonly address: string;
      readonly start: task.TaskStart;
    }
  | {
      readonly kind: 'renewLeases';
      readonly worker: string;
      readonly address: string;
      readonly tasks: ReadonlyArray<string>;
      /** Lease end on the worker's clock. */
      readonly leaseEnd: number;
    }
  | {
      readonly kind: 'stopTask' | 'checkpointTask' | 'fetchTaskAnswer';
      readonly worker: string;
      readonly address: string;
      readonly task: string;
    }
  | {
      readonly kind: 'throttleTask';
      readonly worker: string;
      readonly address: string;
      readonly task: string;
      readonly limit: resources.Resources;
    }
  | {
      readonly kind: 'readReport';
      readonly worker: string;
      readonly address: string;
    };

/** An action towards the platform's log or VM list. */
export type PlatformEffect =
  | {
      readonly kind: 'append';
      readonly stream: string;
      readonly append: number;
      readonly records: ReadonlyArray<string>;
    }
  | {
      readonly kind: 'readStream';
      readonly stream: string;
      readonly from: number;
    }
  | {readonly kind: 'readVmList'};

/** An action towards another entry process. */
export type PeerEffect =
  | {
      readonly kind: 'confirmPeer';
      readonly peer: string;
      readonly address: string;
      readonly zonePosition: number;
      readonly status: event.PeerStatus;
    }
  | {
      readonly kind: 'answerConfirm';
      readonly call: event.CallNumber;
      readonly confirmed: boolean;
      readonly zoneRecords: ReadonlyArray<event.StreamRecord>;
      readonly status: event.PeerStatus;
    }
  | {
      readonly kind: 'offerRequest';
      readonly peer: string;
      readonly address: string;
      readonly identity: string;
      /** Counts the offers of the request; a repeated one keeps its number. */
      readonly attempt: number;
      readonly client: string;
      readonly submission: request.Submission;
      readonly remainingMs: number;
    }
  | {
      readonly kind: 'answerOffer';
      readonly call: event.CallNumber;
      readonly code: number;
      readonly answer: string;
    }
  | {
      readonly kind: 'withdrawOffer';
      readonly peer: string;
      readonly address: string;
      readonly identity: string;
      /** Withdraws offers up to this number. */
      readonly attempt: number;
    }
  | {
      readonly kind: 'answerWithdraw';
      readonly call: event.CallNumber;
      readonly code: number;
    }
  | {
      /** Passes a caller's call on to the home of its identity. */
      readonly kind: 'forwardCall';
      /** The home, or the VM of any process of the home's zone. */
      readonly peer: string;
      /** Whether any process at the address may take the call. */
      readonly relayed: boolean;
      readonly address: string;
      readonly call: event.CallNumber;
    }
  | {
      readonly kind: 'fetchDocuments';
      readonly peer: string;
      readonly address: string;
      readonly have: ReadonlyArray<event.DocumentVersion>;
    }
  | {
      readonly kind: 'answerDocuments';
      readonly call: event.CallNumber;
      readonly documents: ReadonlyArray<event.Document>;
    }
  | {
      readonly kind: 'sendWitness';
      readonly peer: string;
      readonly address: string;
      readonly batch: number;
      readonly entries: ReadonlyArray<string>;
    }
  | {
      readonly kind: 'answerWitness';
      readonly call: event.CallNumber;
      readonly stored: boolean;
    }
  | {
      readonly kind: 'readWitness';
      readonly peer: string;
      readonly address: string;
      readonly process: string;
    }
  | {
      readonly kind: 'answerReadWitness';
      readonly call: event.CallNumber;
      readonly complete: boolean;
      readonly entries: ReadonlyArray<string>;
    };

/** The reply to a caller's or an operator's call. */
export interface Reply {
  /** A number of `RESULT_CODES`. */
  readonly code: number;
  readonly detail?: string;
  readonly identity?: string;
  readonly identities?: ReadonlyArray<string>;
  /** Progress of a request: queued, starting, running, ended. */
  readonly state?: string;
  readonly worker?: string;
  readonly answer?: string;
  /** Body of status, explain and configuration calls. */
  readonly content?: unknown;
  readonly version?: number;
}

/** Everything that the decision core can ask for. */
export type Effect =
  | WorkerEffect
  | PlatformEffect
  | PeerEffect
  | {
      /**
       * Ends the process at once: another one has succeeded it, and it can
       * serve again only under a new incarnation.
       */
      readonly kind: 'endProcess';
      readonly reason: string;
    }
  | {
      readonly kind: 'answerCaller';
      readonly call: event.CallNumber;
      readonly reply: Reply;
    }
  | {
      readonly kind: 'count';
      readonly metric: string;
      readonly labels: Readonly<Record<string, string>>;
      readonly value: number;
    }
  | {
      readonly kind: 'observe';
      readonly metric: string;
      readonly labels: Readonly<Record<string, string>>;
      readonly milliseconds: number;
    }
  | {
      readonly kind: 'log';
      readonly level: 'debug' | 'info' | 'warn' | 'error';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };

/** Builds a counter effect. */
export function count(
  metric: string,
  labels: Readonly<Record<string, string>> = {},
  value = 1,
): Effect {
  return {kind: 'count', metric, labels, value};
}

/** Builds a log effect; `event` names what happened. */
export function log(
  level: 'debug' | 'info' | 'warn' | 'error',
  name: string,
  fields: Readonly<Record<string, string | number | boolean>> = {},
): Effect {
  return {kind: 'log', level, event: name, fields};
}
