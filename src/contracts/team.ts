import type * as resources from '../machines/resources.js';
import type * as workload from './workload.js';

/** Configuration of a team: its clients, quota, share and workloads. */
export interface Team {
  readonly name: string;
  /** Clients that may send requests for the team. */
  readonly clients: ReadonlyArray<string>;
  /**
   * Capacity that the team's tasks may reserve at once in the cell. Only
   * idempotent batch work that is not urgent may exceed it, by borrowing.
   */
  readonly quota: resources.Resources;
  /** Weight among teams that compete for the same capacity. */
  readonly share: number;
  /** Largest number of waiting requests; further ones are refused. */
  readonly queueLimit: number;
  readonly workloads: ReadonlyArray<workload.Workload>;
}
