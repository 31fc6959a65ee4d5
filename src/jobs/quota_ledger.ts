import * as resources from '../machines/resources.js';
import type * as job from './job.js';
import type * as organisation from './organisation.js';
import type * as stepInstance from './step_instance.js';

/** Dimensions in which quotas limit. */
const DIMENSIONS = ['processors', 'memory', 'accelerators'] as const;

/**
 * Runs of earlier terms that an organisation may have on workers which have not
 * reported yet.
 */
export type UnknownRunsSource = (organisation: string) => resources.Resources;

/**
 * Keeps what each organisation has running within its quota. A run counts from
 * the decision to start it until its end is known, also while it is stopped.
 */
export class QuotaLedger {
  private readonly used = new Map<string, resources.Resources>();
  /** Quotas of the newest configuration, and of organisations it dropped. */
  private readonly quotas = new Map<string, organisation.Quota>();

  constructor(
    private readonly unknownRunsOf: UnknownRunsSource = () => resources.NONE,
  ) {}

  /** Applies the quotas of a configuration. */
  configure({organisations = []}: job.OperatorConfiguration): void {
    for (const {name, quota} of organisations) this.quotas.set(name, quota);
  }

  /** Counts a run of a step. */
  add({jobRecord, definition}: stepInstance.StepInstance): void {
    this.change(jobRecord.definition.organisation, usedBy =>
      resources.add(usedBy, definition.size),
    );
  }

  /** Counts a run of a step no longer. */
  remove({jobRecord, definition}: stepInstance.StepInstance): void {
    this.change(jobRecord.definition.organisation, usedBy =>
      resources.subtract(usedBy, definition.size),
    );
  }

  /** Returns how many more tasks of a step fit; Infinity without a limit. */
  remainingTasks({jobRecord, definition}: stepInstance.StepInstance): number {
    const name = jobRecord.definition.organisation;
    const quota = name === undefined ? undefined : this.quotas.get(name);
    if (name === undefined || quota === undefined) return Infinity;
    const usedBy = resources.add(
      this.used.get(name) ?? resources.NONE,
      this.unknownRunsOf(name),
    );
    let remaining = Infinity;
    for (const dimension of DIMENSIONS) {
      const limit = quota[dimension];
      const size = definition.size[dimension];
      if (limit === 0 || size === 0) continue;
      const fitting = Math.floor((limit - usedBy[dimension]) / size);
      remaining = Math.min(remaining, Math.max(0, fitting));
    }
    return remaining;
  }

  private change(
    name: string | undefined,
    apply: (usedBy: resources.Resources) => resources.Resources,
  ): void {
    if (name === undefined) return;
    this.used.set(name, apply(this.used.get(name) ?? resources.NONE));
  }
}
