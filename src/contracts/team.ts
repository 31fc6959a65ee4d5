import type * as resources from '../machines/resources.js';
import type * as workload from './workload.js';

/** A team with its quota and its workloads. */
export interface Team {
  readonly name: string;
  /** Clients that may send requests for the team. */
  readonly clients: ReadonlyArray<string>;
  /**
   * What the team's tasks may reserve at once in the cell. Only idempotent
   * batch work that is not urgent may go beyond, in room lent by others.
   */
  readonly quota: resources.Resources;
  /** Weight among teams that compete for the same room. */
  readonly share: number;
  /** Requests that may wait; more are refused. */
  readonly queueLimit: number;
  readonly workloads: ReadonlyArray<workload.Workload>;
}
