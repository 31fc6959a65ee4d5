import type * as clock from '../machines/clock.js';
import type * as request from './request.js';
import type * as resources from '../machines/resources.js';
import type * as worker from '../machines/worker.js';

/** A task of a request and the worker on which capacity is reserved for it. */
export interface Placement {
  readonly request: request.Request;
  readonly task: string;
  readonly worker: worker.Worker;
  /** Reserved capacity; also the limit at which the worker throttles. */
  readonly size: resources.Resources;
}

/** Permission of this process to start tasks on workers. */
export interface PlacementPermission {
  mayPlace(worker: string, now: clock.Milliseconds): boolean;
}
