import type * as resources from '../machines/resources.js';
import type * as event from './event.js';
import type * as request from './request.js';
import type * as task from './task.js';

/** A call to a worker. */
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

/** A call to the platform's log or VM list. */
export type PlatformEffect =
  | {
      readonly kind: 'append';
      readonly stream: string;
      /** Number of the append; its answer carries the same number. */
      readonly append: number;
      readonly records: ReadonlyArray<string>;
    }
  | {
      readonly kind: 'readStream';
      readonly stream: string;
      readonly from: number;
    }
  | {readonly kind: 'readVmList'};

/** A call or an answer to another entry process. */
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
      /** Number of the offer within its request; resending keeps the number. */
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
      /** Number of the last offer to withdraw; earlier ones are included. */
      readonly attempt: number;
    }
  | {
      readonly kind: 'answerWithdraw';
      readonly call: event.CallNumber;
      readonly code: number;
    }
  | {
      /** Forwards a caller's call to the home of its identity. */
      readonly kind: 'forwardCall';
      /** The home, or the VM of any process in the home's zone. */
      readonly peer: string;
      /** Whether any process at the address may handle the call. */
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
  /** State of the request; one of `RequestState`. */
  readonly state?: string;
  readonly worker?: string;
  readonly answer?: string;
  /** Body of status, explain and configuration calls. */
  readonly content?: unknown;
  readonly version?: number;
}

/** All effects that the decision core can return. */
export type Effect =
  | WorkerEffect
  | PlatformEffect
  | PeerEffect
  | {
      /**
       * Ends the process at once because a successor has taken over. It can
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

/** Returns an effect that adds `value` to a counter. */
export function count(
  metric: string,
  labels: Readonly<Record<string, string>> = {},
  value = 1,
): Effect {
  return {kind: 'count', metric, labels, value};
}

/** Returns an effect that logs the event called `name`. */
export function log(
  level: 'debug' | 'info' | 'warn' | 'error',
  name: string,
  fields: Readonly<Record<string, string | number | boolean>> = {},
): Effect {
  return {kind: 'log', level, event: name, fields};
}
